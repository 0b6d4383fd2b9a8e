// Service port over HTTP: one plain call, whole answer.
#include "adapters/HttpService.h"

#include "adapters/HttpExchange.h"

namespace guavapond {

namespace {

class HttpService {
public:
    explicit HttpService(const HttpServiceSettings& initial)
        : settings(initial)
    {
    }

    Cancellation call(const ServiceRequest& request, std::function<void(ServiceAnswer)> receive)
    {
        ExchangeRequest http;
        http.url = request.url;
        http.method = request.method;
        http.path = request.path;
        http.requestId = request.requestId;
        http.contentType = request.contentType;
        http.body = request.body;
        http.connectTimeout = request.connectTimeout;
        http.firstByteTimeout = request.timeout; // progress is never reported, so this bounds the whole call
        http.progressTimeout = request.timeout;

        auto answer = std::make_shared<ServiceAnswer>();
        ExchangeHooks hooks;
        hooks.onHead = [answer](int status, const std::string& contentType) {
            answer->status = status;
            answer->contentType = contentType;
        };
        hooks.onBytes = [answer, most = this->settings.maxAnswerBytes](std::string_view bytes) {
            if (answer->body.size() + bytes.size() > most)
                answer->failure = Failure { FailureKind::TargetFailed, Disposition::Ran, "the answer is larger than the limit" };
            else
                answer->body += bytes;
        };
        hooks.onEnd = [answer, receive = std::move(receive)](const std::optional<ExchangeFailure>& failure) {
            if (failure) {
                const auto disposition = failure->sent ? Disposition::Unknown : Disposition::NotRun;
                const bool cancelled = failure->kind == ExchangeFailure::Kind::Cancelled;
                answer->failure
                    = Failure { cancelled ? FailureKind::CallerGone : FailureKind::TargetFailed, disposition, failure->message };
                answer->sent = failure->sent;
            }
            receive(std::move(*answer));
        };
        auto started = HttpExchange::start(this->settings.caFile, this->timer, std::move(http), std::move(hooks));
        return [weak = std::weak_ptr(started)] {
            if (auto running = weak.lock())
                running->cancel();
        };
    }

private:
    const HttpServiceSettings settings;
    DeadlineTimer timer;
};

} // namespace

Service makeHttpService(const HttpServiceSettings& settings)
{
    auto adapter = std::make_shared<HttpService>(settings);
    return { [adapter](const ServiceRequest& request, std::function<void(ServiceAnswer)> receive) {
        return adapter->call(request, std::move(receive));
    } };
}

} // namespace guavapond
