// Assembles streamed generation events.
#include "core/AnswerAssembler.h"

namespace guavapond {

using Json = nlohmann::json;

namespace {

constexpr size_t maxToolCalls = 128;

std::string dump(const Json& value) { return value.dump(-1, ' ', false, Json::error_handler_t::replace); }

void appendText(const Json& object, const char* name, std::string& to)
{
    auto field = object.find(name);
    if (field != object.end() && field->is_string())
        to += field->get_ref<const std::string&>();
}

} // namespace

AnswerAssembler::AnswerAssembler(bool c, size_t m)
    : chat(c)
    , maxBytes(m)
{
}

bool AnswerAssembler::add(std::string_view eventJson)
{
    Json event = Json::parse(eventJson, nullptr, false);
    if (!event.is_object())
        return false;
    if (this->head.is_null()) {
        this->head = Json::object();
        for (const char* name : { "id", "created", "model", "system_fingerprint" }) {
            if (event.contains(name))
                this->head[name] = event[name];
        }
    }
    if (event.contains("usage") && event["usage"].is_object())
        this->usage = event["usage"];
    auto choices = event.find("choices");
    if (choices != event.end() && choices->is_array() && !choices->empty() && choices->front().is_object())
        this->addChoice(choices->front());
    return true;
}

void AnswerAssembler::addChoice(const Json& choice)
{
    auto before = this->text.size() + this->reasoning.size();
    if (choice.contains("finish_reason") && !choice["finish_reason"].is_null())
        this->finishReason = choice["finish_reason"];
    if (this->chat) {
        auto delta = choice.find("delta");
        if (delta != choice.end() && delta->is_object()) {
            appendText(*delta, "content", this->text);
            appendText(*delta, "reasoning_content", this->reasoning);
            if (delta->contains("tool_calls") && (*delta)["tool_calls"].is_array())
                this->addToolCalls((*delta)["tool_calls"]);
        }
    } else {
        appendText(choice, "text", this->text);
    }
    this->bytes += this->text.size() + this->reasoning.size() - before;
    if (this->bytes > this->maxBytes) {
        this->overflowed = true;
        this->text.clear();
        this->reasoning.clear();
        this->toolCalls.clear();
        this->bytes = 0;
    }
}

// The first delta of a call carries its id and name, the following ones pieces of its arguments.
void AnswerAssembler::addToolCalls(const Json& calls)
{
    for (const auto& call : calls) {
        if (!call.is_object())
            continue;
        size_t index = call.contains("index") && call["index"].is_number_unsigned() ? call["index"].get<size_t>() : 0;
        if (index >= maxToolCalls) {
            this->overflowed = true;
            return;
        }
        while (this->toolCalls.size() <= index)
            this->toolCalls.push_back({ { "type", "function" }, { "function", { { "name", "" }, { "arguments", "" } } } });
        auto& whole = this->toolCalls[index];
        if (call.contains("id"))
            whole["id"] = call["id"];
        if (!call.contains("function") || !call["function"].is_object())
            continue;
        for (const char* name : { "name", "arguments" }) {
            std::string piece;
            appendText(call["function"], name, piece);
            this->bytes += piece.size();
            auto& field = whole["function"][name];
            field = field.get<std::string>() + piece;
        }
    }
}

Json AnswerAssembler::envelope(std::string_view object, Json choice) const
{
    Json answer = this->head.is_null() ? Json::object() : this->head;
    answer["object"] = object;
    choice["index"] = 0;
    choice["finish_reason"] = this->finishReason;
    answer["choices"] = Json::array({ std::move(choice) });
    if (!this->usage.is_null())
        answer["usage"] = this->usage;
    return answer;
}

std::string AnswerAssembler::answer() const
{
    if (!this->chat)
        return dump(this->envelope("text_completion", { { "text", this->text } }));
    Json message { { "role", "assistant" }, { "content", this->text } };
    if (!this->reasoning.empty())
        message["reasoning_content"] = this->reasoning;
    if (!this->toolCalls.empty())
        message["tool_calls"] = this->toolCalls;
    return dump(this->envelope("chat.completion", { { "message", std::move(message) } }));
}

std::string AnswerAssembler::events() const
{
    Json choice;
    if (this->chat) {
        choice["delta"] = { { "role", "assistant" }, { "content", this->text } };
        if (!this->reasoning.empty())
            choice["delta"]["reasoning_content"] = this->reasoning;
        if (!this->toolCalls.empty()) {
            Json calls = this->toolCalls;
            for (size_t i = 0; i < calls.size(); ++i)
                calls[i]["index"] = i;
            choice["delta"]["tool_calls"] = std::move(calls);
        }
    } else {
        choice["text"] = this->text;
    }
    auto event = this->envelope(this->chat ? "chat.completion.chunk" : "text_completion", std::move(choice));
    return "data: " + dump(event) + "\n\ndata: [DONE]\n\n";
}

} // namespace guavapond
