// Parsing of callers' requests and the body of errors.
#include "core/CallerRequest.h"

#include "core/PrefixIndex.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace guavapond {

namespace {

using Json = nlohmann::json;

constexpr std::string_view servicePrefix = "/v1/services/";
constexpr size_t maxJsonDepth = 64; // levels; deeper bodies cost stack and mean nothing to an engine

Failure refuse(FailureKind kind, std::string message) { return { kind, Disposition::NotRun, std::move(message), {} }; }

bool equalConstantTime(std::string_view a, std::string_view b)
{
    // The time must not tell how many leading characters of a token are right.
    unsigned difference = a.size() == b.size() ? 0 : 1;
    for (size_t i = 0; i < a.size(); ++i)
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b.empty() ? 0 : b[i % b.size()]);
    return difference == 0;
}

bool isTooDeep(std::string_view text)
{
    size_t depth = 0;
    bool inString = false;
    for (size_t i = 0; i < text.size(); ++i) {
        char c = text[i];
        if (inString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                inString = false;
            continue;
        }
        if (c == '"')
            inString = true;
        else if (c == '{' || c == '[') {
            if (++depth > maxJsonDepth)
                return true;
        } else if ((c == '}' || c == ']') && depth > 0)
            --depth;
    }
    return false;
}

std::optional<Failure> readTier(const CallerInput& input, RequestSpec& spec)
{
    auto text = input.header(tierHeader);
    if (!text)
        return std::nullopt;
    auto tier = parseTier(*text);
    if (!tier)
        return refuse(FailureKind::BadRequest, std::string(tierHeader) + " has to be urgent, standard or batch");
    spec.tier = *tier;
    return std::nullopt;
}

std::optional<Failure> readDeadline(const CallerInput& input, const CallerSettings& settings, RequestSpec& spec, TimePoint now)
{
    spec.arrival = now;
    spec.deadline = now + settings.defaultDeadline;
    auto text = input.header(deadlineHeader);
    if (!text)
        return std::nullopt;
    int64_t milliseconds = 0;
    auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), milliseconds);
    if (error != std::errc() || end != text->data() + text->size())
        return refuse(FailureKind::BadRequest, std::string(deadlineHeader) + " has to be a whole number of milliseconds");
    if (milliseconds <= 0)
        return refuse(FailureKind::DeadlineExceeded, "the deadline has passed already");
    if (milliseconds > toMilliseconds(settings.maxDeadline))
        return refuse(
            FailureKind::BadRequest, std::string(deadlineHeader) + " is above " + std::to_string(toMilliseconds(settings.maxDeadline)));
    spec.deadline = now + std::chrono::milliseconds(milliseconds);
    return std::nullopt;
}

std::optional<Failure> readIdempotent(const CallerInput& input, bool fallback, RequestSpec& spec)
{
    spec.idempotent = fallback;
    auto text = input.header(idempotentHeader);
    if (!text)
        return std::nullopt;
    if (*text != "true" && *text != "false")
        return refuse(FailureKind::BadRequest, std::string(idempotentHeader) + " has to be true or false");
    spec.idempotent = *text == "true";
    return std::nullopt;
}

// Appends the text of one message's content: a string, or a list of parts with text.
bool appendContent(const Json& content, std::string& prompt)
{
    if (content.is_string()) {
        prompt += content.get_ref<const std::string&>();
        return true;
    }
    if (content.is_null())
        return true;
    if (!content.is_array())
        return false;
    for (const auto& part : content) {
        if (!part.is_object())
            return false;
        auto text = part.find("text");
        if (text != part.end() && text->is_string())
            prompt += text->get_ref<const std::string&>();
    }
    return true;
}

Result<std::string> readChatPrompt(const Json& body)
{
    auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return refuse(FailureKind::WrongType, "messages has to be a list with at least one message");
    std::string prompt;
    for (const auto& message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
            return refuse(FailureKind::WrongType, "each message has to be an object with a role");
        prompt += message["role"].get_ref<const std::string&>();
        prompt += '\n';
        auto content = message.find("content");
        if (content != message.end() && !appendContent(*content, prompt))
            return refuse(FailureKind::WrongType, "content of a message has to be a string or a list of parts");
        prompt += '\n';
    }
    return prompt;
}

Result<std::string> readPlainPrompt(const Json& body)
{
    auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string())
        return refuse(FailureKind::WrongType, "prompt has to be a string");
    return prompt->get<std::string>();
}

std::optional<Failure> readOutputLimit(const Json& body, const CallerSettings& settings, RequestSpec& spec)
{
    for (const char* name : { "max_completion_tokens", "max_tokens" }) {
        auto field = body.find(name);
        if (field == body.end() || field->is_null())
            continue;
        if (!field->is_number_integer() || *field < 1 || *field > settings.maxOutputTokens)
            return refuse(FailureKind::WrongType,
                std::string(name) + " has to be a whole number from 1 to " + std::to_string(settings.maxOutputTokens));
        spec.maxOutputTokens = field->get<uint32_t>();
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<Failure> resolveModel(CallerRequest& request, const TableIndex& table, RequestKind kind)
{
    auto model = table.model(request.model);
    if (!model || table.modelKind(*model) != kind)
        return refuse(FailureKind::NotFound, (kind == RequestKind::Engine ? "unknown model " : "unknown service ") + request.model);
    request.spec.model = *model;
    request.spec.kind = kind;
    return std::nullopt;
}

std::optional<Failure> readGeneration(
    const CallerInput& input, const TableIndex& table, const CallerSettings& settings, CallerRequest& request)
{
    if (isTooDeep(input.body))
        return refuse(FailureKind::BadRequest, "the body is nested too deeply");
    Json body = Json::parse(input.body, nullptr, false);
    if (body.is_discarded())
        return refuse(FailureKind::BadRequest, "the body is not valid JSON");
    if (!body.is_object())
        return refuse(FailureKind::WrongType, "the body has to be a JSON object");
    auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        return refuse(FailureKind::WrongType, "model has to be a string");
    request.model = model->get<std::string>();
    auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean() && !stream->is_null())
        return refuse(FailureKind::WrongType, "stream has to be true or false");
    request.stream = stream != body.end() && stream->is_boolean() && stream->get<bool>();
    auto count = body.find("n");
    if (count != body.end() && !(count->is_number_integer() && *count == 1))
        return refuse(FailureKind::WrongType, "n has to be 1");
    if (auto failure = readOutputLimit(body, settings, request.spec))
        return failure;
    auto prompt = request.operation == Operation::ChatCompletion ? readChatPrompt(body) : readPlainPrompt(body);
    if (!prompt)
        return prompt.reason;
    auto tokens = prompt->size() / charsPerToken + 1;
    if (tokens > settings.maxPromptTokens)
        return refuse(FailureKind::BodyTooLarge, "the prompt is longer than " + std::to_string(settings.maxPromptTokens) + " tokens");
    request.spec.promptTokens = static_cast<uint32_t>(tokens);
    if (auto failure = resolveModel(request, table, RequestKind::Engine))
        return failure;
    request.spec.prefixBlocks = hashPrefix(request.model, *prompt);
    body["stream"] = true;
    request.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    request.path = request.operation == Operation::ChatCompletion ? "/v1/chat/completions" : "/v1/completions";
    request.contentType = "application/json";
    return std::nullopt;
}

std::optional<Failure> readServiceCall(const CallerInput& input, const TableIndex& table, CallerRequest& request)
{
    auto rest = input.target.substr(servicePrefix.size());
    auto end = rest.find_first_of("/?");
    request.model = std::string(rest.substr(0, end));
    auto tail = end == std::string_view::npos ? std::string_view {} : rest.substr(end);
    request.path = tail.empty() || tail.front() == '?' ? "/" + std::string(tail) : std::string(tail);
    request.method = std::string(input.method);
    request.body = std::string(input.body);
    request.contentType = std::string(input.header("Content-Type").value_or(""));
    return resolveModel(request, table, RequestKind::Service);
}

uint64_t digestOf(const CallerInput& input)
{
    // Each part seeds the next one, so that the borders between the parts count.
    uint64_t digest = 0;
    for (auto part : { input.method, input.target, input.header(workspaceHeader).value_or(""), input.body })
        digest = XXH64(part.data(), part.size(), digest);
    return digest;
}

} // namespace

Result<WorkspaceId> authorize(const CallerInput& input, const TableIndex& table)
{
    auto name = input.header(workspaceHeader);
    if (!name || name->empty())
        return refuse(FailureKind::BadRequest, std::string(workspaceHeader) + " is missing");
    auto workspace = table.workspace(*name);
    if (!workspace)
        return refuse(FailureKind::WorkspaceForbidden, "unknown workspace");
    const auto& token = table.row(*workspace)->token;
    if (token.empty())
        return *workspace;
    constexpr std::string_view scheme = "Bearer ";
    auto given = input.header("Authorization").value_or("");
    if (!given.starts_with(scheme) || !equalConstantTime(given.substr(scheme.size()), token))
        return refuse(FailureKind::Unauthorized, "the workspace's token is missing or wrong");
    return *workspace;
}

Result<CallerRequest> parseCallerRequest(const CallerInput& input, const TableIndex& table, const CallerSettings& settings, TimePoint now)
{
    CallerRequest request;
    auto path = input.target.substr(0, input.target.find('?'));
    bool isService = path.starts_with(servicePrefix);
    if (!isService && path != "/v1/chat/completions" && path != "/v1/completions")
        return refuse(FailureKind::NotFound, "unknown path");
    if (!isService && input.method != "POST")
        return refuse(FailureKind::NotFound, "only POST is known here");
    request.operation = isService ? Operation::ServiceCall : path == "/v1/completions" ? Operation::Completion : Operation::ChatCompletion;
    auto workspace = authorize(input, table);
    if (!workspace)
        return *workspace.reason;
    request.spec.workspace = *workspace;
    bool safeMethod = input.method == "GET" || input.method == "HEAD";
    for (auto failure : { readTier(input, request.spec), readDeadline(input, settings, request.spec, now),
             readIdempotent(input, !isService || safeMethod, request.spec) }) {
        if (failure)
            return *failure;
    }
    auto failure = isService ? readServiceCall(input, table, request) : readGeneration(input, table, settings, request);
    if (failure)
        return *failure;
    request.ticket = std::string(input.header(ticketHeader).value_or(""));
    request.digest = digestOf(input);
    return request;
}

std::string errorBody(const Failure& failure, std::string_view ticket)
{
    Json error {
        { "type", failureKindName(failure.kind) },
        { "message", failure.message },
        { "disposition", dispositionName(failure.disposition) },
        { "retryAfterMs", toMilliseconds(failure.retryAfter) },
    };
    if (!ticket.empty())
        error["ticket"] = ticket;
    return Json { { "error", std::move(error) } }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace guavapond
