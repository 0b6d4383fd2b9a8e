// Table commands over TableStore and HttpPlatform.
#include "cli/TableCommands.h"

#include "adapters/HttpPlatform.h"
#include "adapters/UnixTime.h"
#include "core/TableFields.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

namespace guavapond::cli {

namespace {

using nlohmann::json;
namespace fs = std::filesystem;

constexpr std::array<std::string_view, 4> sections { "workspaces", "targets", "shares", "moves" };
constexpr std::string_view revisionFile = "revision.txt"; // written by export; import takes it as the revision that was seen

TableStore openStore(const TableOptions& options)
{
    HttpPlatformSettings platform;
    platform.urls = options.platformUrls;
    platform.timeout = options.timeout;
    TableStoreSettings settings;
    settings.pause = [](Duration d) { std::this_thread::sleep_for(d); };
    return { httpKeyValue(platform), settings };
}

std::string randomId()
{
    std::random_device device;
    char buffer[40];
    std::snprintf(buffer, sizeof buffer, "%08x%08x%08x%08x", device(), device(), device(), device());
    return buffer;
}

// Ms since 1970, or a time from now: +90s, +30m, +2h.
std::optional<int64_t> parseDeadline(std::string_view text, int64_t nowUnixMs)
{
    const bool fromNow = text.starts_with('+');
    int64_t unit = 1;
    if (fromNow) {
        text.remove_prefix(1);
        constexpr std::string_view units = "smh";
        constexpr int64_t unitMs[] = { 1000, 60'000, 3'600'000 };
        const size_t found = text.empty() ? std::string_view::npos : units.find(text.back());
        if (found == std::string_view::npos)
            return std::nullopt;
        unit = unitMs[found];
        text.remove_suffix(1);
    }
    constexpr int64_t most = 1'000'000'000'000'000;
    int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || end != text.data() + text.size() || number < 0 || number > most / unit)
        return std::nullopt;
    return (fromNow ? nowUnixMs : 0) + number * unit;
}

// Runs `body` with the table that the platform holds now.
template <typename Body> int withTable(const TableOptions& options, Body body)
{
    TableStore store = openStore(options);
    const Result<bool> read = store.refresh();
    if (!read)
        return fail(*read.reason);
    return body(store);
}

template <typename Row> void printSection(const std::vector<Row>& rows)
{
    std::vector<std::string> header;
    Row names;
    fields::visit(names, [&](const std::string& name, const auto&) { header.push_back(name); });
    Lines lines;
    for (Row row : rows) {
        std::vector<std::string>& line = lines.emplace_back();
        fields::visit(row, [&](const std::string& name, const auto& value) {
            const std::string text = fields::toText(value);
            line.push_back(name == "token" && !text.empty() ? "(hidden)" : text.empty() ? "-" : text);
        });
    }
    printTable(header, lines);
}

template <typename Row> json sectionJson(const std::vector<Row>& rows)
{
    json list = json::array();
    for (Row row : rows) {
        json& object = list.emplace_back(json::object());
        fields::visit(row, [&](const std::string& name, const auto& value) {
            if constexpr (std::is_enum_v<std::decay_t<decltype(value)>>)
                object[name] = fields::toText(value);
            else
                object[name] = value;
            if (name == "token" && object[name] != "")
                object[name] = "(hidden)";
        });
    }
    return list;
}

void printChanges(const std::vector<CellChange>& changes)
{
    Lines lines;
    for (const CellChange& change : changes)
        lines.push_back({ change.cell, change.before.empty() ? "-" : change.before, change.after.empty() ? "-" : change.after });
    printTable({ "CELL", "OLD", "NEW" }, lines);
}

json faultsJson(const std::vector<CellFault>& faults)
{
    json list = json::array();
    for (const CellFault& fault : faults)
        list.push_back({ { "cell", fault.cell }, { "value", fault.value }, { "allowed", fault.allowed } });
    return list;
}

void printFaults(const std::vector<CellFault>& faults)
{
    for (const CellFault& fault : faults)
        std::fprintf(stderr, "  %s = '%s': allowed: %s\n", fault.cell.c_str(), fault.value.c_str(), fault.allowed.c_str());
}

void printEdits(const std::vector<AuditEntry>& edits)
{
    for (const AuditEntry& entry : edits) {
        std::fprintf(stderr, "  revision %llu, %s, %s from %s: %s\n", static_cast<unsigned long long>(entry.revision),
            timeText(entry.unixMs).c_str(), entry.who.c_str(), entry.where.c_str(), entry.reason.c_str());
        for (const CellChange& change : entry.cells)
            std::fprintf(stderr, "    %s: '%s' -> '%s'\n", change.cell.c_str(), change.before.c_str(), change.after.c_str());
    }
}

int reportOutcome(const TableOptions& options, const TableEdit& edit, const EditOutcome& outcome)
{
    if (options.json) {
        json result { { "id", edit.id }, { "repeated", outcome.repeated }, { "unchanged", outcome.unchanged } };
        if (outcome.revision)
            result["revision"] = *outcome.revision;
        if (outcome.reason) {
            result["error"] = { { "type", failureKindName(outcome.reason->kind) }, { "message", outcome.reason->message },
                { "disposition", dispositionName(outcome.reason->disposition) } };
            result["faults"] = faultsJson(outcome.faults);
            result["changedSince"] = json::array();
            for (const AuditEntry& entry : outcome.changedSince)
                result["changedSince"].push_back(auditJson(entry));
        }
        printJson(result);
    } else if (outcome.revision) {
        const char* text = outcome.unchanged ? "nothing to change" : outcome.repeated ? "in effect already" : "in effect";
        std::printf("%s, revision %llu, edit %s\n", text, static_cast<unsigned long long>(*outcome.revision), edit.id.c_str());
    }
    if (!outcome.reason)
        return Done;
    const int code = fail(*outcome.reason);
    printFaults(outcome.faults);
    printEdits(outcome.changedSince);
    if (outcome.reason->disposition == Disposition::Unknown)
        std::fprintf(stderr, "  repeat with --id %s --seen %llu to settle it\n", edit.id.c_str(),
            static_cast<unsigned long long>(edit.seenRevision));
    return code;
}

int apply(const TableOptions& options, TableStore& store, TableEdit edit)
{
    edit.id = options.editId.empty() ? randomId() : options.editId;
    edit.seenRevision = options.seenRevision.value_or(edit.seenRevision);
    edit.who = options.who;
    edit.where = options.where;
    edit.reason = options.reason;
    edit.unixMs = unixMsNow();
    return reportOutcome(options, edit, store.edit(edit));
}

std::optional<std::string> readFile(const fs::path& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return std::nullopt;
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

// Replaces the sections that the directory has a file for.
int readDirectory(const TableOptions& options, const fs::path& directory, Table& table)
{
    size_t files = 0;
    json faults = json::array();
    for (std::string_view section : sections) {
        const fs::path path = directory / (std::string(section) + ".csv");
        const auto text = readFile(path);
        if (!text)
            continue;
        ++files;
        for (const CsvFault& fault : importCsv(*text, section, table))
            faults.push_back({ { "file", path.string() }, { "line", fault.line }, { "column", fault.column }, { "value", fault.value },
                { "allowed", fault.allowed } });
    }
    if (files == 0)
        return fail(Absent, directory.string() + " holds none of workspaces.csv, targets.csv, shares.csv, moves.csv");
    if (faults.empty())
        return Done;
    if (options.json)
        printJson({ { "faults", faults } });
    for (const json& fault : faults)
        std::fprintf(stderr, "%s:%zu: %s = '%s': allowed: %s\n", fault["file"].get<std::string>().c_str(), fault["line"].get<size_t>(),
            fault["column"].get<std::string>().c_str(), fault["value"].get<std::string>().c_str(),
            fault["allowed"].get<std::string>().c_str());
    return fail(Invalid, std::to_string(faults.size()) + " errors in the files; nothing was changed");
}

} // namespace

int showTable(const TableOptions& options, const std::string& section)
{
    return withTable(options, [&](TableStore& store) -> int {
        const Table& table = store.current()->table();
        json all { { "revision", store.current()->revision() } };
        if (!options.json)
            std::printf("revision %llu\n", static_cast<unsigned long long>(store.current()->revision()));
        fields::forEachSection(table, [&](std::string_view name, const auto& rows) {
            if (!section.empty() && section != name)
                return;
            if (options.json) {
                all[std::string(name)] = sectionJson(rows);
                return;
            }
            std::printf("\n%s\n", std::string(name).c_str());
            printSection(rows);
        });
        if (options.json)
            printJson(all);
        return Done;
    });
}

int getCell(const TableOptions& options, const std::string& cell)
{
    return withTable(options, [&](TableStore& store) -> int {
        const auto value = readCell(store.current()->table(), cell);
        if (!value)
            return fail(Absent, "no cell " + cell);
        if (options.json)
            printJson({ { "cell", cell }, { "value", *value }, { "revision", store.current()->revision() } });
        else
            std::printf("%s\n", value->c_str());
        return Done;
    });
}

int editCells(const TableOptions& options, std::vector<CellEdit> edits)
{
    return withTable(options, [&](TableStore& store) {
        TableEdit edit;
        edit.seenRevision = store.current()->revision();
        edit.cells = std::move(edits);
        return apply(options, store, std::move(edit));
    });
}

// ---- Moves
int startMove(const TableOptions& options, const MoveOptions& move)
{
    const auto deadline = parseDeadline(move.deadline, unixMsNow());
    if (!deadline)
        return fail(Usage, "'" + move.deadline + "' is neither ms since 1970 nor a time from now such as +90s, +30m or +2h");
    if (*deadline <= unixMsNow())
        return fail(Usage, "the deadline has passed");
    const std::string row = "moves/" + move.id;
    std::vector<CellEdit> edits { { CellEdit::Action::AddRow, row, "" } };
    const auto set = [&](const char* field, std::string value) {
        edits.push_back({ CellEdit::Action::Set, row + "." + field, std::move(value) });
    };
    set("model", move.model);
    set("fromVersion", move.fromVersion);
    set("toVersion", move.toVersion);
    set("deadlineUnixMs", std::to_string(*deadline));
    const auto setNumber = [&](const char* field, const std::optional<double>& value) {
        if (value)
            set(field, json(*value).dump());
    };
    setNumber("maxUnprovedPercent", move.maxUnprovedPercent);
    setNumber("badFailureRate", move.badFailureRate);
    setNumber("badLatencyRatio", move.badLatencyRatio);
    set("reason", options.reason);
    return editCells(options, std::move(edits));
}

int endMove(const TableOptions& options, const std::string& id, MoveState state)
{
    return withTable(options, [&](TableStore& store) -> int {
        const std::string row = "moves/" + id;
        const auto present = readCell(store.current()->table(), row + ".state");
        if (!present)
            return fail(Absent, "no move " + id);
        const std::string wanted = fields::toText(state);
        // An ended move stays ended: nodes and operators have acted on it.
        if (*present != "running" && *present != wanted)
            return fail(Conflicting, "move " + id + " is " + *present);
        TableEdit edit;
        edit.seenRevision = store.current()->revision();
        edit.cells = { { CellEdit::Action::Set, row + ".state", wanted }, { CellEdit::Action::Set, row + ".reason", options.reason } };
        return apply(options, store, std::move(edit));
    });
}

int showMoves(const TableOptions& options, const MoveOptions& move)
{
    constexpr std::chrono::seconds followInterval { 1 };
    std::optional<std::vector<MoveRow>> shown;
    while (true) {
        std::vector<MoveRow> rows;
        const int code = withTable(options, [&](TableStore& store) -> int {
            for (const MoveRow& row : store.current()->table().moves) {
                if (move.id.empty() || row.id == move.id)
                    rows.push_back(row);
            }
            return Done;
        });
        if (code != Done)
            return code;
        if (rows.empty() && !move.id.empty())
            return fail(Absent, "no move " + move.id);
        if (!shown || *shown != rows) {
            if (options.json)
                printJson({ { "moves", sectionJson(rows) } });
            else
                printSection(rows);
            std::fflush(stdout);
            shown = rows;
        }
        const bool runs = std::any_of(rows.begin(), rows.end(), [](const MoveRow& row) { return row.state == MoveState::Running; });
        if (!move.follow || !runs)
            return Done;
        std::this_thread::sleep_for(followInterval);
    }
}

int exportTable(const TableOptions& options, const std::string& directory)
{
    return withTable(options, [&](TableStore& store) -> int {
        std::error_code error;
        fs::create_directories(directory, error);
        const auto write = [&](std::string_view name, const std::string& text) {
            std::ofstream out(fs::path(directory) / name, std::ios::binary | std::ios::trunc);
            out << text;
            out.close();
            return static_cast<bool>(out);
        };
        bool written = write(revisionFile, std::to_string(store.current()->revision()) + "\n");
        for (std::string_view section : sections)
            written = write(std::string(section) + ".csv", exportCsv(store.current()->table(), section)) && written;
        if (!written)
            return fail(Invalid, "can't write to " + directory);
        const unsigned long long revision = store.current()->revision();
        if (options.json)
            printJson({ { "revision", revision }, { "directory", directory } });
        else
            std::printf("revision %llu written to %s; the files hold the workspaces' tokens\n", revision, directory.c_str());
        return Done;
    });
}

int importTable(const TableOptions& options, const std::string& directory)
{
    return withTable(options, [&](TableStore& store) -> int {
        TableEdit edit;
        edit.seenRevision = store.current()->revision();
        if (const auto text = readFile(fs::path(directory) / revisionFile)) {
            if (std::string_view(text->data(), text->find_last_not_of("\r\n") + 1).empty()
                || !fields::fromText(std::string_view(*text).substr(0, text->find_last_not_of("\r\n") + 1), edit.seenRevision).empty())
                return fail(Invalid, (fs::path(directory) / revisionFile).string() + " does not hold a revision");
        }
        edit.whole = store.current()->table();
        if (const int code = readDirectory(options, directory, *edit.whole); code != Done)
            return code;
        return apply(options, store, std::move(edit));
    });
}

int diffTable(const TableOptions& options, const std::string& directory)
{
    return withTable(options, [&](TableStore& store) -> int {
        Table table = store.current()->table();
        if (const int code = readDirectory(options, directory, table); code != Done)
            return code;
        const std::vector<CellChange> changes = diffTables(store.current()->table(), table);
        const std::vector<CellFault> faults = validate(table);
        if (options.json) {
            json list = json::array();
            for (const CellChange& change : changes)
                list.push_back({ { "cell", change.cell }, { "old", change.before }, { "new", change.after } });
            printJson({ { "revision", store.current()->revision() }, { "changes", list }, { "faults", faultsJson(faults) } });
        } else
            printChanges(changes);
        if (faults.empty())
            return Done;
        printFaults(faults);
        return fail(Invalid, std::to_string(faults.size()) + " cells are not valid");
    });
}

int showHistory(const TableOptions& options)
{
    return withTable(options, [&](TableStore& store) -> int {
        Lines lines;
        for (const AuditEntry& entry : store.head().edits) {
            if (options.json)
                printJson(auditJson(entry));
            const size_t cells = entry.cells.size() + entry.omittedCells;
            lines.push_back({ std::to_string(entry.revision), timeText(entry.unixMs), entry.who, entry.where, std::to_string(cells),
                entry.editId, entry.reason });
        }
        if (!options.json)
            printTable({ "REVISION", "TIME", "WHO", "WHERE", "CELLS", "EDIT", "REASON" }, lines);
        return Done;
    });
}

int showAudit(const TableOptions& options, uint64_t afterRevision, const std::string& cellPrefix)
{
    return withTable(options, [&](TableStore& store) -> int {
        Lines lines;
        for (const AuditEntry& entry : store.head().edits) {
            if (entry.revision <= afterRevision)
                continue;
            AuditEntry shown = entry;
            std::erase_if(shown.cells, [&](const CellChange& change) { return !change.cell.starts_with(cellPrefix); });
            if (shown.cells.empty() && !cellPrefix.empty())
                continue;
            if (options.json)
                printJson(auditJson(shown));
            for (const CellChange& change : shown.cells)
                lines.push_back({ std::to_string(entry.revision), timeText(entry.unixMs), entry.who, entry.where, change.cell,
                    change.before.empty() ? "-" : change.before, change.after.empty() ? "-" : change.after, entry.reason });
        }
        if (!options.json)
            printTable({ "REVISION", "TIME", "WHO", "WHERE", "CELL", "OLD", "NEW", "REASON" }, lines);
        return Done;
    });
}

} // namespace guavapond::cli
