// The guavapond command: arguments only; the commands are in TableCommands and NodeCommands.
#include "adapters/Settings.h"
#include "cli/NodeCommands.h"
#include "cli/TableCommands.h"
#include "edge/Explain.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <unistd.h>

using namespace guavapond;
using namespace guavapond::cli;

namespace {

constexpr const char* footer = R"(Exit codes:
  0 done                     4 platform or node does not answer, nothing changed
  1 wrong arguments          5 the outcome is not known
  2 errors in file or edit   6 no such cell, target or ticket
  3 conflicting edit         7 a node refused or failed the request

Examples:
  guavapond check config/himal.toml
  guavapond --platform http://127.0.0.1:7000 table show targets
  guavapond table get targets/runner-1.state
  guavapond table set workspaces/assessors/urgent.weight=3 --reason 'festival week'
  guavapond table set --add shares/dossier/v2 shares/dossier/v2.percent=10 shares/dossier/v1.percent=90 --reason trial
  guavapond table export sheets && guavapond table diff sheets && guavapond table import sheets --reason 'weights for May'
  guavapond audit --cell targets/ --json
  guavapond move start m1 --model dossier --from v1 --to v2 --deadline +2h --reason 'new tags' && guavapond move status m1 --follow
  guavapond drain runner-1 --reason 'disk fault'
  guavapond --node http://127.0.0.1:8080 request chat --workspace assessors --model dossier 'What is a fire door?'
  guavapond --node http://127.0.0.1:8080 request service register/certificates -X POST -d '{"n":1}' --workspace assessors
  guavapond --node http://10.0.0.7:7601 beliefs
  guavapond --node http://10.0.0.7:7601 where --host paint.example --path /v1/dossier --key K --prompt-tokens 6000
  guavapond explain 9c41d07be2a35f68 <node.log
  guavapond --node http://127.0.0.1:8080 ticket gp1.lalitpur-1.9f.1.w

GUAVAPOND_PLATFORM and GUAVAPOND_NODE give the addresses when the options are absent.)";

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value ? value : "";
}

std::string hostName()
{
    char buffer[256] = {};
    return ::gethostname(buffer, sizeof buffer - 1) == 0 ? buffer : "unknown";
}

int checkFile(const std::string& file, bool json)
{
    const SettingsResult result = readSettings(file);
    if (json) {
        nlohmann::json errors = nlohmann::json::array();
        for (const SettingsError& error : result.errors)
            errors.push_back({ { "file", error.file }, { "line", error.line }, { "key", error.key }, { "value", error.value },
                { "allowed", error.allowed } });
        printJson({ { "valid", result.errors.empty() }, { "errors", errors } });
        return result.errors.empty() ? Done : Invalid;
    }
    for (const SettingsError& error : result.errors)
        std::fprintf(stderr, "%s\n", describe(error).c_str());
    if (!result.errors.empty())
        return fail(Invalid, std::to_string(result.errors.size()) + " errors in " + file);
    std::printf("%s is valid\n", file.c_str());
    return Done;
}

struct Arguments {
    TableOptions table;
    NodeOptions node;
    RequestOptions request;
    WhereOptions where;
    MoveOptions move;
    bool json = false;
    int64_t timeoutMs = 10000;
    std::string name; // section, cell, directory, target, ticket or file
    std::vector<std::string> assignments;
    std::vector<std::string> added;
    std::vector<std::string> removed;
    uint64_t after = 0;
    std::string cellPrefix;
    bool undo = false;
    std::function<int()> run;
};

void addEditOptions(CLI::App* command, Arguments& a)
{
    command->add_option("--reason", a.table.reason, "why, for the audit trail")->required();
    command->add_option("--who", a.table.who, "for the audit trail; default: $USER");
    command->add_option("--seen", a.table.seenRevision, "table revision that the edit is based on; default: the present one");
    command->add_option("--id", a.table.editId, "id of the edit; the same id is never applied twice");
}

void addTableCommands(CLI::App& app, Arguments& a)
{
    CLI::App* table = app.add_subcommand("table", "the operators' table");
    table->require_subcommand(1);
    CLI::App* show = table->add_subcommand("show", "print the table");
    show->add_option("section", a.name)->check(CLI::IsMember({ "workspaces", "targets", "shares", "moves" }));
    show->callback([&a] { a.run = [&a] { return showTable(a.table, a.name); }; });
    CLI::App* get = table->add_subcommand("get", "print one cell");
    get->add_option("cell", a.name, "for example targets/runner-1.state")->required();
    get->callback([&a] { a.run = [&a] { return getCell(a.table, a.name); }; });

    CLI::App* set = table->add_subcommand("set", "change cells; all of them or none");
    set->add_option("assignments", a.assignments, "CELL=VALUE");
    set->add_option("--add", a.added, "row to add first, for example targets/runner-9")->allow_extra_args(false);
    set->add_option("--remove", a.removed, "row to remove")->allow_extra_args(false);
    addEditOptions(set, a);
    set->callback([&a] {
        a.run = [&a]() -> int {
            std::vector<CellEdit> edits;
            for (const std::string& row : a.added)
                edits.push_back({ CellEdit::Action::AddRow, row, "" });
            for (const std::string& text : a.assignments) {
                const size_t equals = text.find('=');
                if (equals == std::string::npos)
                    return fail(Usage, "'" + text + "' is not CELL=VALUE");
                edits.push_back({ CellEdit::Action::Set, text.substr(0, equals), text.substr(equals + 1) });
            }
            for (const std::string& row : a.removed)
                edits.push_back({ CellEdit::Action::RemoveRow, row, "" });
            return edits.empty() ? fail(Usage, "nothing to change") : editCells(a.table, std::move(edits));
        };
    });

    CLI::App* exporter = table->add_subcommand("export", "write CSV files and the revision to a directory");
    exporter->add_option("directory", a.name)->required();
    exporter->callback([&a] { a.run = [&a] { return exportTable(a.table, a.name); }; });
    CLI::App* importer = table->add_subcommand("import", "replace the sections that the directory has CSV files for");
    importer->add_option("directory", a.name)->required();
    addEditOptions(importer, a);
    importer->callback([&a] { a.run = [&a] { return importTable(a.table, a.name); }; });
    CLI::App* diff = table->add_subcommand("diff", "show what an import of the directory would change");
    diff->add_option("directory", a.name)->required();
    diff->callback([&a] { a.run = [&a] { return diffTable(a.table, a.name); }; });
    table->add_subcommand("history", "recent edits")->callback([&a] { a.run = [&a] { return showHistory(a.table); }; });

    CLI::App* audit = app.add_subcommand("audit", "recent changes, cell by cell; --json prints JSON lines");
    audit->add_option("--after", a.after, "only revisions above this one");
    audit->add_option("--cell", a.cellPrefix, "only cells that begin with this text");
    audit->callback([&a] { a.run = [&a] { return showAudit(a.table, a.after, a.cellPrefix); }; });
    CLI::App* drain = app.add_subcommand("drain", "give a target no new work");
    drain->add_option("target", a.name)->required();
    drain->add_flag("--undo", a.undo, "make it active again");
    addEditOptions(drain, a);
    drain->callback([&a] {
        a.run = [&a] {
            return editCells(a.table, { { CellEdit::Action::Set, "targets/" + a.name + ".state", a.undo ? "active" : "draining" } });
        };
    });
}

void addMoveCommands(CLI::App& app, Arguments& a)
{
    CLI::App* move = app.add_subcommand("move", "move a model's traffic from one version to another by a deadline");
    move->require_subcommand(1);
    CLI::App* start = move->add_subcommand("start", "add a running move to the table");
    start->add_option("id", a.move.id)->required();
    start->add_option("--model", a.move.model, "model or service")->required();
    start->add_option("--from", a.move.fromVersion, "old version")->required();
    start->add_option("--to", a.move.toVersion, "new version")->required();
    start->add_option("--deadline", a.move.deadline, "ms since 1970, or from now: +90s, +30m, +2h")->required();
    start->add_option("--max-unproved-percent", a.move.maxUnprovedPercent, "largest share while the new version is unproved");
    start->add_option("--bad-failure-rate", a.move.badFailureRate, "failures above the old version's that make the new one bad");
    start->add_option("--bad-latency-ratio", a.move.badLatencyRatio, "latency against the old version's that makes the new one bad");
    addEditOptions(start, a);
    start->callback([&a] { a.run = [&a] { return startMove(a.table, a.move); }; });
    CLI::App* status = move->add_subcommand("status", "moves in the table; the nodes' verdicts and shares are in `status --json`");
    status->add_option("id", a.move.id, "default: all");
    status->add_flag("--follow", a.move.follow, "print each change until no move runs");
    status->callback([&a] { a.run = [&a] { return showMoves(a.table, a.move); }; });
    for (const auto& [name, state, text] : { std::tuple { "finish", MoveState::Finished, "give the new version all traffic for good" },
             std::tuple { "take-back", MoveState::TakenBack, "give the old version its traffic back" } }) {
        CLI::App* end = move->add_subcommand(name, text);
        end->add_option("id", a.move.id)->required();
        addEditOptions(end, a);
        end->callback([&a, state = state] { a.run = [&a, state] { return endMove(a.table, a.move.id, state); }; });
    }
}

void addNodeCommands(CLI::App& app, Arguments& a)
{
    app.add_subcommand("status", "state of each node named by --node")->callback([&a] { a.run = [&a] { return showStatus(a.node); }; });
    app.add_subcommand("beliefs", "what each edge node named by --node believes; --node takes its metrics address")->callback([&a] {
        a.run = [&a] { return showBeliefs(a.node); };
    });
    CLI::App* where = app.add_subcommand(
        "where", "where a request would go now, and why, without sending it; --node takes an edge node's metrics address");
    where->add_option("--host", a.where.host)->required();
    where->add_option("--path", a.where.path)->required();
    where->add_option("--key", a.where.key, "API key of the workspace");
    where->add_option("--prompt-tokens", a.where.promptTokens);
    where->add_option("--output-events", a.where.outputEvents, "expected number of events of the answer");
    where->add_option("--prompt-parts", a.where.promptParts, "ID:TOKENS,...");
    where->callback([&a] { a.run = [&a] { return showWhere(a.node, a.where); }; });
    CLI::App* ticket = app.add_subcommand("ticket", "outcome of a ticket");
    ticket->add_option("id", a.name)->required();
    ticket->add_option("--token", a.request.token, "workspace's token");
    ticket->callback([&a] { a.run = [&a] { return showTicket(a.node, a.name, a.request.token); }; });

    CLI::App* request = app.add_subcommand("request", "send a request and print the answer as it arrives");
    request->require_subcommand(1);
    const auto addCommon = [&a](CLI::App* command) {
        command->add_option("--workspace", a.request.workspace)->required();
        command->add_option("--tier", a.request.tier)->check(CLI::IsMember({ "urgent", "standard", "batch" }));
        command->add_option("--deadline-ms", a.request.deadlineMs, "from now");
        command->add_option("--token", a.request.token, "workspace's token");
        command->add_option("--ticket", a.request.ticket);
        command->callback([&a, command] {
            a.request.kind = command->get_name();
            a.run = [&a] { return sendRequest(a.node, a.request); };
        });
    };
    for (const char* kind : { "chat", "completion" }) {
        CLI::App* command = request->add_subcommand(kind, std::string("a ") + kind + " by a model");
        command->add_option("prompt", a.request.prompt)->required();
        command->add_option("--model", a.request.model)->required();
        command->add_option("--max-tokens", a.request.maxTokens);
        addCommon(command);
    }
    CLI::App* service = request->add_subcommand("service", "a call of a plain service");
    service->add_option("path", a.request.path, "SERVICE/PATH")->required();
    service->add_option("-X,--method", a.request.method);
    service->add_option("-d,--data", a.request.body, "JSON body");
    service->add_option("--idempotent", a.request.idempotent)->check(CLI::IsMember({ "true", "false" }));
    addCommon(service);
}

} // namespace

int main(int argc, char** argv)
{
    Arguments a;
    CLI::App app("Guavapond: operators' and callers' command");
    app.footer(footer);
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--platform", a.table.platformUrls, "URL of the platform; may be repeated")->allow_extra_args(false);
    app.add_option("--node", a.node.nodes, "URL of a node; may be repeated")->allow_extra_args(false);
    app.add_option("--ca-file", a.node.caFile, "PEM file with the nodes' certificate authority");
    app.add_option("--timeout-ms", a.timeoutMs, "of a call, or of silence inside a stream")->check(CLI::Range(1, 86400000));
    app.add_flag("--json", a.json, "JSON for programs");
    CLI::App* check = app.add_subcommand("check", "check a node's settings file");
    check->add_option("file", a.name)->required();
    check->callback([&a] { a.run = [&a] { return checkFile(a.name, a.json); }; });
    CLI::App* explain = app.add_subcommand("explain", "tell the story of a request from log lines on standard input");
    explain->add_option("request", a.name, "id of the request")->required();
    explain->callback([&a] { a.run = [&a] { return edge::explainRequest(std::cin, a.name, std::cout) > 0 ? Done : Absent; }; });
    addTableCommands(app, a);
    addMoveCommands(app, a);
    addNodeCommands(app, a);
    for (CLI::App* command : app.get_subcommands([](CLI::App*) { return true; })) {
        command->fallthrough();
        for (CLI::App* inner : command->get_subcommands([](CLI::App*) { return true; }))
            inner->fallthrough();
    }
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? Done : Usage;
    }

    if (a.table.platformUrls.empty() && !environment("GUAVAPOND_PLATFORM").empty())
        a.table.platformUrls = { environment("GUAVAPOND_PLATFORM") };
    if (a.node.nodes.empty() && !environment("GUAVAPOND_NODE").empty())
        a.node.nodes = { environment("GUAVAPOND_NODE") };
    const bool asksNode = app.got_subcommand("status") || app.got_subcommand("beliefs") || app.got_subcommand("where")
        || app.got_subcommand("ticket") || app.got_subcommand("request");
    if (asksNode && a.node.nodes.empty())
        return fail(Usage, "--node URL is missing");
    if (!asksNode && !app.got_subcommand("check") && !app.got_subcommand("explain") && a.table.platformUrls.empty())
        return fail(Usage, "--platform URL is missing");
    a.table.json = a.node.json = a.json;
    a.table.timeout = a.node.timeout = std::chrono::milliseconds(a.timeoutMs);
    if (a.table.who.empty())
        a.table.who = environment("USER").empty() ? "uid " + std::to_string(::getuid()) : environment("USER");
    a.table.where = hostName();
    return a.run();
}
