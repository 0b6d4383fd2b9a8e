// Puts the streamed events of one generation together into one answer, for callers that did not ask for a stream and for stored answers.
//
// Index
//   AnswerAssembler   events in; a whole answer, or the same answer as one event, out
//
// Only choice 0 is read: requests for several choices are refused on entry.
#pragma once

#include "core/Types.h"

#include <nlohmann/json.hpp>

namespace guavapond {

class AnswerAssembler {
public:
    // Beyond `maxBytes` the text is dropped and isWhole() turns false.
    AnswerAssembler(bool chat, size_t maxBytes);

    bool add(std::string_view eventJson); // false: not an event of a generation
    bool isWhole() const { return !this->overflowed; }

    std::string answer() const; // chat.completion or text_completion
    std::string events() const; // the whole answer as server-sent events with terminator

private:
    void addChoice(const nlohmann::json& choice);
    void addToolCalls(const nlohmann::json& calls);
    nlohmann::json envelope(std::string_view object, nlohmann::json choice) const;

    bool chat;
    size_t maxBytes;
    bool overflowed = false;
    size_t bytes = 0;
    nlohmann::json head;         // id, created, model and what else the first event names
    nlohmann::json usage;        // of the newest event that has it
    nlohmann::json finishReason; // null until the engine gives one
    std::string text;
    std::string reasoning;
    nlohmann::json toolCalls = nlohmann::json::array();
};

} // namespace guavapond
