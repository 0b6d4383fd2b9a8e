// Body type for Boost.Beast parsers: a string that grows with the bytes that arrive. http::string_body reserves the Content-Length of the
// message at once, a number that the peer chooses freely.
//
// Index
//   ReceivedBody    the body of a message that is being received
#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>

#include <string>

namespace guavapond::edge {

struct ReceivedBody {
    using value_type = std::string;

    // NOLINTNEXTLINE(readability-identifier-naming): the name that Boost.Beast expects
    class reader {
    public:
        template <bool IsRequest, typename Fields>
        reader(boost::beast::http::header<IsRequest, Fields>&, value_type& body)
            : body(body)
        {
        }
        void init(const boost::optional<uint64_t>&, boost::system::error_code& error) { error = {}; }
        template <typename Buffers> size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            const size_t before = this->body.size();
            for (const boost::asio::const_buffer part : boost::beast::buffers_range_ref(buffers))
                this->body.append(static_cast<const char*>(part.data()), part.size());
            error = {};
            return this->body.size() - before;
        }
        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& body;
    };
};

} // namespace guavapond::edge
