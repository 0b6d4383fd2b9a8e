// Client of the callers' interface over cpprestsdk.
#include "cli/NodeCommands.h"

#include <boost/asio/ssl/context.hpp>
#include <cpprest/containerstream.h>
#include <cpprest/http_client.h>
#include <cstdio>

namespace guavapond::cli {

namespace {

using nlohmann::json;
using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;

http_client connect(const NodeOptions& options, const std::string& url)
{
    http_client_config config;
    config.set_timeout(options.timeout);
    if (!options.caFile.empty()) {
        const std::string file = options.caFile;
        config.set_ssl_context_callback([file](boost::asio::ssl::context& context) { context.load_verify_file(file); });
    }
    return { url, config };
}

http_request makeRequest(const std::string& method, const std::string& path)
{
    http_request request { web::http::method(method) };
    request.set_request_uri(web::uri(path));
    return request;
}

std::string header(const http_response& response, const std::string& name)
{
    const auto found = response.headers().find(name);
    return found == response.headers().end() ? "" : found->second;
}

// A member of an object as text; empty if it is absent.
std::string member(const json& object, const char* name)
{
    if (!object.is_object() || !object.contains(name) || object[name].is_null())
        return "";
    return object[name].is_string() ? object[name].get<std::string>() : object[name].dump();
}

std::string scalars(const json& object)
{
    std::string text;
    for (const auto& [name, value] : object.items()) {
        if (!value.is_structured())
            text += (text.empty() ? "" : ", ") + name + " " + member(object, name.c_str());
    }
    return text;
}

// Prints an error body as section 6 of the design defines it.
int reportError(const NodeOptions& options, int status, const std::string& text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("error"))
        return fail(Refused, "status " + std::to_string(status) + ": " + text);
    const json& error = body["error"];
    if (options.json)
        printJson(body);
    std::string message = member(error, "type") + ": " + member(error, "message") + " (" + member(error, "disposition");
    if (const std::string wait = member(error, "retryAfterMs"); !wait.empty() && wait != "0")
        message += ", retry after " + wait + " ms";
    if (const std::string ticket = member(error, "ticket"); !ticket.empty())
        message += ", ticket " + ticket;
    const bool unknown = member(error, "disposition") == dispositionName(Disposition::Unknown);
    return fail(unknown ? Uncertain : status == 404 ? Absent : Refused, message + ")");
}

struct Fetched {
    int status = 0;
    std::string body;
    std::string error; // set: the node did not answer
};

Fetched fetch(const NodeOptions& options, const std::string& url, const http_request& request)
{
    Fetched result;
    try {
        http_client client = connect(options, url);
        const http_response response = client.request(request).get();
        result.status = response.status_code();
        result.body = response.extract_string(true).get();
    } catch (const std::exception& error) {
        result.error = error.what();
    }
    return result;
}

Fetched fetch(const NodeOptions& options, const std::string& url, const std::string& path, const std::string& token)
{
    http_request request = makeRequest("GET", path);
    if (!token.empty())
        request.headers().add("Authorization", "Bearer " + token);
    return fetch(options, url, request);
}

// Text of one event of a stream, for people.
std::string eventText(const json& event)
{
    if (!event.is_object() || !event.contains("choices") || !event["choices"].is_array() || event["choices"].empty())
        return "";
    const json& choice = event["choices"][0];
    for (const char* part : { "delta", "message" }) {
        if (choice.contains(part))
            return member(choice[part], "content");
    }
    return member(choice, "text");
}

// Prints a stream of server-sent events as it arrives. Only a stream that ends with [DONE] is complete.
int printStream(const NodeOptions& options, const http_response& response)
{
    const std::string dataPrefix = "data:";
    bool done = false;
    bool errorEvent = false;
    concurrency::streams::istream stream = response.body();
    while (true) {
        concurrency::streams::container_buffer<std::string> buffer;
        const size_t count = stream.read_line(buffer).get();
        const std::string& line = buffer.collection();
        if (count == 0 && stream.is_eof())
            break;
        if (line.starts_with("event:"))
            errorEvent = line.find("error") != std::string::npos;
        if (!line.starts_with(dataPrefix))
            continue;
        const std::string data = line.substr(line.find_first_not_of(' ', dataPrefix.size()));
        if (errorEvent) {
            std::printf("\n");
            return reportError(options, response.status_code(), data);
        }
        done = data == "[DONE]";
        if (done)
            break;
        if (options.json)
            std::printf("%s\n", data.c_str());
        else
            std::fputs(eventText(json::parse(data, nullptr, false)).c_str(), stdout);
        std::fflush(stdout);
    }
    if (!options.json)
        std::printf("\n");
    return done ? Done : fail(Uncertain, "the stream ended before [DONE]: the answer is not complete");
}

http_request buildRequest(const RequestOptions& options, const std::string& ticket)
{
    http_request request;
    if (options.kind == "service") {
        request = makeRequest(options.method, "/v1/services/" + options.path);
        if (!options.body.empty())
            request.set_body(options.body, "application/json");
        if (!options.idempotent.empty())
            request.headers().add("Guavapond-Idempotent", options.idempotent);
    } else {
        json body { { "model", options.model }, { "stream", true } };
        if (options.kind == "chat")
            body["messages"] = json::array({ { { "role", "user" }, { "content", options.prompt } } });
        else
            body["prompt"] = options.prompt;
        if (options.maxTokens)
            body["max_tokens"] = *options.maxTokens;
        request = makeRequest("POST", options.kind == "chat" ? "/v1/chat/completions" : "/v1/completions");
        request.set_body(body.dump(-1, ' ', false, json::error_handler_t::replace), "application/json");
    }
    request.headers().add("Guavapond-Workspace", options.workspace);
    request.headers().add("Guavapond-Tier", options.tier);
    if (options.deadlineMs)
        request.headers().add("Guavapond-Deadline-Ms", std::to_string(*options.deadlineMs));
    if (!options.token.empty())
        request.headers().add("Authorization", "Bearer " + options.token);
    if (!ticket.empty())
        request.headers().add("Guavapond-Ticket", ticket);
    return request;
}

bool needsTicket(const RequestOptions& options)
{
    if (options.kind != "service" || !options.ticket.empty())
        return false;
    return options.idempotent.empty() ? options.method != "GET" && options.method != "HEAD" : options.idempotent == "false";
}

// A call that must not be repeated gets its ticket first, so that its outcome can be asked for later.
std::string mintTicket(http_client& client, const RequestOptions& options)
{
    http_request request = makeRequest("POST", "/v1/tickets");
    request.headers().add("Guavapond-Workspace", options.workspace);
    if (!options.token.empty())
        request.headers().add("Authorization", "Bearer " + options.token);
    const http_response response = client.request(request).get();
    const std::string text = response.extract_string(true).get();
    const std::string ticket = header(response, "Guavapond-Ticket");
    return ticket.empty() ? member(json::parse(text, nullptr, false), "ticket") : ticket;
}

} // namespace

int showStatus(const NodeOptions& options)
{
    Lines lines;
    size_t failures = 0;
    for (const std::string& url : options.nodes) {
        const Fetched answer = fetch(options, url, "/v1/admin/status", "");
        const json body = json::parse(answer.body, nullptr, false);
        const bool good = answer.error.empty() && answer.status == 200 && body.is_object();
        failures += !good;
        const std::string reason = answer.error.empty() ? "status " + std::to_string(answer.status) : answer.error;
        if (options.json) {
            printJson(good ? json { { "node", url }, { "status", body } } : json { { "node", url }, { "error", reason } });
            continue;
        }
        lines.push_back({ url, good ? "up" : "no answer", good ? scalars(body) : reason });
    }
    if (!options.json)
        printTable({ "NODE", "STATE", "DETAILS" }, lines);
    return failures == 0 ? Done : Unavailable;
}

namespace {

struct Column {
    const char* title;
    const char* field;
};

void printList(const json& page, const char* list, std::initializer_list<Column> columns)
{
    const auto found = page.find(list);
    if (found == page.end() || !found->is_array() || found->empty())
        return;
    std::vector<std::string> header;
    Lines lines;
    for (const Column& column : columns)
        header.emplace_back(column.title);
    for (const json& entry : *found) {
        std::vector<std::string> line;
        for (const Column& column : columns)
            line.push_back(member(entry, column.field));
        lines.push_back(std::move(line));
    }
    std::printf("\n");
    printTable(header, lines);
}

void printBeliefs(const json& page)
{
    printTable({ "NODE", "READY", "CONFIGURATION", "PROOF AGE MS", "IN FLIGHT" },
        { { member(page, "node"), member(page, "ready"), member(page, "configurationVersion"), member(page, "proofAgeMs"),
            member(page, "inFlight") } });
    printList(page, "routes",
        { { "ROUTE", "name" }, { "HOST", "host" }, { "PREFIX", "prefix" }, { "KIND", "kind" }, { "PRIORITY", "priority" },
            { "SHARES", "shares" } });
    printList(page, "services", { { "SERVICE", "name" }, { "WAITING", "waiting" }, { "OCCUPANCY", "occupancy" } });
    const json none = json::array();
    for (const json& service : page.value("services", none)) {
        printList(service, "targets",
            { { "TARGET", "id" }, { "ADDRESS", "address" }, { "FAILURE DOMAIN", "failureDomain" }, { "VERSION", "version" },
                { "RUNNING", "running" }, { "SLOTS", "slots" }, { "PREFILL TOKENS", "prefillTokens" }, { "TOKENS/MS", "tokensPerMs" },
                { "EVENT GAP MS", "eventGapMs" }, { "LIMIT PER S", "requestLimit" }, { "LIMIT AGE MS", "requestLimitAgeMs" },
                { "LIMIT SHARE", "requestLimitShare" }, { "RATE BY", "rateBy" }, { "WARM-UP LEFT MS", "warmUpLeftMs" },
                { "STATE", "state" } });
    }
    printList(page, "workspaces",
        { { "WORKSPACE", "name" }, { "RATE/S", "ratePerSecond" }, { "BURST", "burst" }, { "LEVEL", "level" }, { "IN WINDOW", "inWindow" },
            { "WINDOW LIMIT", "windowLimit" } });
    printList(page, "nodes", { { "OTHER NODE", "node" }, { "ADDRESS", "address" }, { "HEARD MS AGO", "heardMsAgo" } });
    printList(page, "moves",
        { { "MOVE OF", "service" }, { "TO VERSION", "version" }, { "STATE", "state" }, { "NEW", "newRequests" }, { "NEW BAD", "newBad" },
            { "OLD", "oldRequests" }, { "OLD BAD", "oldBad" } });
    printList(page, "evacuations",
        { { "EVACUATED", "domain" }, { "FROM", "from" }, { "REVISION", "revision" }, { "SINCE MS", "sinceMs" }, { "TARGETS", "targets" } });
}

void printWhere(const json& page)
{
    std::printf("node %s: route %s, workspace %s, priority %s of the workspace and %s of the route\n", member(page, "node").c_str(),
        member(page, "route").c_str(), member(page, "workspace").c_str(), member(page, "workspaceRank").c_str(),
        member(page, "routeRank").c_str());
    if (page.contains("blockedBy") && !page["blockedBy"].is_null())
        std::printf("not placed by this node now: %s\n", member(page, "blockedBy").c_str());
    for (const json& service : page.value("services", json::array())) {
        std::printf("\nservice %s (weight %s): %s", member(service, "service").c_str(), member(service, "weight").c_str(),
            member(service, "verdict").c_str());
        if (service.contains("target") && !service["target"].is_null())
            std::printf(" at %s", member(service, "target").c_str());
        if (!service.contains("home")) {
            std::printf("\n");
            continue;
        }
        std::printf("\n  decided by %s for group '%s', %s of the slots taken; waits at most %s ms, first event within %s ms\n",
            member(service, "home").c_str(), member(service, "group").c_str(), member(service, "occupancy").c_str(),
            member(service, "longestWaitMs").c_str(), member(service, "latestFirstEventMs").c_str());
        Lines lines;
        for (const json& target : service.value("candidates", json::array()))
            lines.push_back({ member(target, "target"), member(target, "excludedBy"), member(target, "failureDomain"),
                member(target, "version"), member(target, "running") + "/" + member(target, "slots"), member(target, "prefillTokens"),
                member(target, "cachedTokens"), member(target, "firstEventMs"), member(target, "scoreMs") });
        printTable({ "TARGET", "EXCLUDED BY", "DOMAIN", "VERSION", "RUNNING", "PREFILL", "CACHED", "FIRST MS", "SCORE MS" }, lines);
    }
}

} // namespace

int showBeliefs(const NodeOptions& options)
{
    size_t failures = 0;
    for (const std::string& url : options.nodes) {
        const Fetched answer = fetch(options, url, "/beliefs", "");
        const json page = json::parse(answer.body, nullptr, false);
        if (!answer.error.empty() || answer.status != 200 || !page.is_object()) {
            ++failures;
            fail(Unavailable, url + ": " + (answer.error.empty() ? "status " + std::to_string(answer.status) : answer.error));
            continue;
        }
        if (options.json)
            printJson(page);
        else
            printBeliefs(page);
    }
    return failures == 0 ? Done : Unavailable;
}

int showWhere(const NodeOptions& options, const WhereOptions& question)
{
    const json body { { "host", question.host }, { "path", question.path }, { "key", question.key },
        { "promptTokens", question.promptTokens }, { "outputEvents", question.outputEvents }, { "promptParts", question.promptParts } };
    int result = Done;
    for (const std::string& url : options.nodes) {
        http_request request = makeRequest("POST", "/where");
        request.set_body(body.dump(), "application/json");
        const Fetched answer = fetch(options, url, request);
        const json page = json::parse(answer.body, nullptr, false);
        if (!answer.error.empty() || !page.is_object()) {
            result = fail(Unavailable, url + ": " + (answer.error.empty() ? "status " + std::to_string(answer.status) : answer.error));
            continue;
        }
        if (answer.status != 200) {
            result = fail(answer.status == 404 ? Absent : answer.status == 400 ? Usage : Refused, url + ": " + member(page, "error"));
            continue;
        }
        if (options.json)
            printJson(page);
        else
            printWhere(page);
    }
    return result;
}

int showTicket(const NodeOptions& options, const std::string& id, const std::string& token)
{
    std::string reason = "no node was named";
    for (const std::string& url : options.nodes) {
        const Fetched answer = fetch(options, url, "/v1/tickets/" + web::uri::encode_data_string(id), token);
        if (!answer.error.empty()) {
            reason = url + ": " + answer.error;
            continue;
        }
        if (answer.status != 200)
            return reportError(options, answer.status, answer.body);
        const json body = json::parse(answer.body, nullptr, false);
        if (options.json || !body.is_object()) {
            std::printf("%s\n", answer.body.c_str());
            return Done;
        }
        Lines lines;
        for (const auto& [name, value] : body.items())
            lines.push_back({ name, member(body, name.c_str()) });
        printTable({ "FIELD", "VALUE" }, lines);
        return Done;
    }
    return fail(Unavailable, reason);
}

int sendRequest(const NodeOptions& options, const RequestOptions& request)
{
    std::string ticket = request.ticket;
    bool sent = false;
    try {
        http_client client = connect(options, options.nodes.front());
        if (needsTicket(request)) {
            ticket = mintTicket(client, request);
            if (ticket.empty())
                return fail(Refused, "the node gave no ticket; the call was not sent");
        }
        sent = true;
        const http_response response = client.request(buildRequest(request, ticket)).get();
        const std::string given = header(response, "Guavapond-Ticket");
        if (!given.empty())
            std::fprintf(stderr, "ticket %s\n", given.c_str());
        if (response.status_code() >= 400)
            return reportError(options, response.status_code(), response.extract_string(true).get());
        if (header(response, "Content-Type").starts_with("text/event-stream"))
            return printStream(options, response);
        std::printf("%s\n", response.extract_string(true).get().c_str());
        return Done;
    } catch (const std::exception& error) {
        const std::string hint = ticket.empty() ? "" : "; ask for the outcome with: guavapond ticket " + ticket;
        return fail(sent ? Uncertain : Unavailable, std::string("no answer from the node: ") + error.what() + hint);
    }
}

} // namespace guavapond::cli
