// JSON, CSV and cell forms of the table.
#include "core/TableCodec.h"

#include "core/TableFields.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace guavapond {

namespace {

using nlohmann::json;

constexpr int formatVersion = 1;
constexpr std::string_view maskedToken = "(hidden)";
constexpr size_t maxAuditText = 128; // bytes of a value in the audit trail

Failure wrongType(std::string message) { return { FailureKind::WrongType, Disposition::NotRun, std::move(message), {} }; }

template <typename Row> std::string cellName(std::string_view section, const Row& row, std::string_view field)
{
    const char separator = field.find('.') == std::string_view::npos ? '.' : '/';
    return std::string(section) + "/" + fields::key(row) + separator + std::string(field);
}

std::string auditText(std::string_view field, const std::string& value)
{
    if (field == "token" && !value.empty())
        return std::string(maskedToken);
    return value.size() <= maxAuditText ? value : value.substr(0, maxAuditText) + "...";
}

// ---- JSON of values
template <typename T> json toJson(const T& v)
{
    if constexpr (std::is_enum_v<T>)
        return fields::toText(v);
    else
        return v;
}

template <typename T> bool fromJson(const json& j, T& v)
{
    if constexpr (std::is_same_v<T, std::string> || std::is_enum_v<T>)
        return j.is_string() && fields::fromText(j.get_ref<const std::string&>(), v).empty();
    else if constexpr (std::is_same_v<T, bool>)
        return j.is_boolean() && (v = j.get<bool>(), true);
    else if constexpr (std::is_floating_point_v<T>)
        return j.is_number() && (v = j.get<T>(), true);
    else if constexpr (std::is_signed_v<T>)
        return j.is_number_integer() && (v = j.get<T>(), true);
    else
        return j.is_number_unsigned() && j.get<uint64_t>() <= std::numeric_limits<T>::max() && (v = j.get<T>(), true);
}

// Reads the fields of one JSON object and notes the first fault; done() reports fields that nobody asked for.
class Reader {
public:
    Reader(const json& o, std::string w)
        : object(o)
        , where(std::move(w))
    {
        if (!this->object.is_object())
            this->fault = this->where + " is not an object";
    }

    template <typename T> void optional(const std::string& name, T& v)
    {
        if (!this->fault.empty() || !this->object.contains(name))
            return;
        ++this->used;
        if (!fromJson(this->object[name], v))
            this->fault = this->where + ": field '" + name + "' has the wrong type or range";
    }
    template <typename T> void required(const std::string& name, T& v)
    {
        if (this->fault.empty() && !this->object.contains(name))
            this->fault = this->where + ": field '" + name + "' is missing";
        optional(name, v);
    }
    const json* array(const std::string& name)
    {
        if (!this->fault.empty())
            return nullptr;
        if (!this->object.contains(name) || !this->object[name].is_array()) {
            this->fault = this->where + ": field '" + name + "' is not a list";
            return nullptr;
        }
        ++this->used;
        return &this->object[name];
    }
    void skip(const std::string& name) { this->used += this->object.is_object() && this->object.contains(name); }
    const std::string& done()
    {
        if (this->fault.empty() && this->used != this->object.size())
            this->fault = this->where + " has an unknown field";
        return this->fault;
    }

private:
    const json& object;
    std::string where;
    std::string fault;
    size_t used = 0;
};

template <typename Row> std::vector<json> defaultJson()
{
    Row defaults;
    std::vector<json> values;
    fields::visit(defaults, [&](const std::string&, const auto& v) { values.push_back(toJson(v)); });
    return values;
}

// Fields with their default value are left out, which keeps the pages small.
template <typename Row> json rowJson(const Row& row)
{
    static const std::vector<json> defaultValues = defaultJson<Row>();
    Row copy = row;
    json result = json::object();
    size_t i = 0;
    fields::visit(copy, [&](const std::string& name, const auto& v) {
        json value = toJson(v);
        if (i < fields::keyFields<Row> || value != defaultValues[i])
            result[name] = std::move(value);
        ++i;
    });
    return result;
}

template <typename Row> std::string readRow(const json& object, const std::string& where, Row& row)
{
    Reader reader(object, where);
    size_t i = 0;
    fields::visit(row, [&](const std::string& name, auto& v) {
        if (i++ < fields::keyFields<Row>)
            reader.required(name, v);
        else
            reader.optional(name, v);
    });
    return reader.done();
}

Result<AuditEntry> readAudit(const json& object)
{
    AuditEntry entry;
    Reader reader(object, "edit");
    reader.required("id", entry.editId);
    reader.required("revision", entry.revision);
    reader.required("unixMs", entry.unixMs);
    reader.required("who", entry.who);
    reader.required("where", entry.where);
    reader.required("reason", entry.reason);
    reader.optional("omittedCells", entry.omittedCells);
    if (const json* cells = reader.array("cells")) {
        for (const json& item : *cells) {
            CellChange change;
            Reader cell(item, "cell of edit " + entry.editId);
            cell.required("cell", change.cell);
            cell.required("old", change.before);
            cell.required("new", change.after);
            if (!cell.done().empty())
                return wrongType(cell.done());
            entry.cells.push_back(std::move(change));
        }
    }
    if (!reader.done().empty())
        return wrongType(reader.done());
    return entry;
}

json headJson(const TableHead& head)
{
    json pages = json::array();
    for (const PageRef& page : head.pages)
        pages.push_back({ { "name", page.name }, { "revision", page.revision }, { "storeRevision", page.storeRevision } });
    json retired = json::array();
    for (const RetiredPage& page : head.retired)
        retired.push_back({ { "key", page.key }, { "storeRevision", page.storeRevision }, { "since", page.since } });
    json edits = json::array();
    for (const AuditEntry& entry : head.edits)
        edits.push_back(auditJson(entry));
    return { { "format", formatVersion }, { "revision", head.revision }, { "pages", pages }, { "retired", retired }, { "edits", edits } };
}

// JSON strings have to be UTF-8; other bytes are replaced rather than thrown on.
std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

// ---- Cells
struct CellAddress {
    std::string section;
    std::string key;
    std::string field; // empty: the row
};

std::optional<CellAddress> parseCell(std::string_view cell, bool wholeRow)
{
    const size_t slash = cell.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    CellAddress address { std::string(cell.substr(0, slash)), std::string(cell.substr(slash + 1)), "" };
    if (wholeRow)
        return address;
    const size_t dot = address.key.rfind('.');
    if (dot == std::string::npos)
        return std::nullopt;
    size_t end = dot;
    const size_t last = address.key.rfind('/', dot);
    // "NAME/urgent.weight": the tier is part of the field.
    if (address.section == "workspaces" && last != std::string::npos)
        end = last;
    address.field = address.key.substr(end + 1);
    address.key.resize(end);
    return address;
}

template <typename Row> auto findRow(std::vector<Row>& rows, const std::string& key)
{
    return std::find_if(rows.begin(), rows.end(), [&](const Row& row) { return fields::key(row) == key; });
}

std::optional<CellFault> applyEdit(Table& table, const CellEdit& edit)
{
    const auto address = parseCell(edit.cell, edit.action != CellEdit::Action::Set);
    if (!address)
        return CellFault { edit.cell, edit.value, "SECTION/ROW.FIELD, or SECTION/ROW for a whole row" };
    std::optional<CellFault> fault
        = CellFault { edit.cell, edit.value, "a cell in one of the sections workspaces, targets, shares, moves" };
    fields::forEachSection(table, [&](std::string_view section, auto& rows) {
        if (section != address->section)
            return;
        using Row = typename std::decay_t<decltype(rows)>::value_type;
        const auto found = findRow(rows, address->key);
        if (edit.action == CellEdit::Action::AddRow) {
            Row row;
            fault.reset();
            if (found != rows.end())
                fault = CellFault { edit.cell, "", "a row that does not exist yet" };
            else if (!fields::setKey(row, address->key))
                fault = CellFault { edit.cell, "", "shares/MODEL/VERSION" };
            else
                rows.push_back(std::move(row));
            return;
        }
        if (found == rows.end()) {
            fault = CellFault { edit.cell, edit.value, "an existing row" };
            return;
        }
        if (edit.action == CellEdit::Action::RemoveRow) {
            rows.erase(found);
            fault.reset();
            return;
        }
        std::string names;
        bool known = false;
        std::string_view rule;
        fields::visit(*found, [&](const std::string& name, auto& v) {
            names += (names.empty() ? "" : ", ") + name;
            if (name != address->field)
                return;
            known = true;
            rule = fields::fromText(edit.value, v);
        });
        if (!known)
            fault = CellFault { edit.cell, edit.value, "one of the fields " + names };
        else if (!rule.empty())
            fault = CellFault { edit.cell, edit.value, std::string(rule) };
        else
            fault.reset();
    });
    return fault;
}

template <typename Row> std::vector<std::pair<std::string, std::string>> texts(const Row& row)
{
    Row copy = row;
    std::vector<std::pair<std::string, std::string>> result;
    fields::visit(copy, [&](const std::string& name, const auto& v) { result.emplace_back(name, fields::toText(v)); });
    return result;
}

template <typename Row> void addRowChanges(std::string_view section, const Row* before, const Row* after, std::vector<CellChange>& changes)
{
    const Row& named = before ? *before : *after;
    if (!before || !after)
        changes.push_back({ std::string(section) + "/" + fields::key(named), before ? "present" : "", after ? "present" : "absent" });
    if (!after)
        return;
    const auto old = texts(before ? *before : Row {});
    const auto now = texts(*after);
    for (size_t i = before ? 0 : fields::keyFields<Row>; i < now.size(); ++i) {
        if (old[i].second == now[i].second)
            continue;
        const std::string& field = now[i].first;
        changes.push_back(
            { cellName(section, named, field), before ? auditText(field, old[i].second) : "", auditText(field, now[i].second) });
    }
}

template <typename Row>
void diffRows(std::string_view section, const std::vector<Row>& before, const std::vector<Row>& after, std::vector<CellChange>& changes)
{
    std::map<std::string, std::pair<const Row*, const Row*>> rows;
    for (const Row& row : before)
        rows[fields::key(row)].first = &row;
    for (const Row& row : after)
        rows[fields::key(row)].second = &row;
    for (const auto& [key, pair] : rows) {
        if (!pair.first || !pair.second || *pair.first != *pair.second)
            addRowChanges(section, pair.first, pair.second, changes);
    }
}

// ---- CSV
void appendCsv(std::string& out, const std::string& value)
{
    if (value.find_first_of(",\"\r\n") == std::string::npos) {
        out += value;
        return;
    }
    out += '"';
    for (char c : value) {
        if (c == '"')
            out += '"';
        out += c;
    }
    out += '"';
}

struct CsvLine {
    size_t line = 0;
    std::vector<std::string> cells;
};

// Returns the line of a quote that is never closed, or 0.
size_t parseCsv(std::string_view text, std::vector<CsvLine>& lines)
{
    constexpr std::string_view byteOrderMark = "\xef\xbb\xbf"; // spreadsheets write one
    if (text.starts_with(byteOrderMark))
        text.remove_prefix(byteOrderMark.size());
    size_t line = 1;
    size_t quoteLine = 0;
    bool quoted = false;
    CsvLine current { line, { "" } };
    const auto endLine = [&] {
        if (current.cells.size() > 1 || !current.cells[0].empty())
            lines.push_back(std::move(current));
        current = { line, { "" } };
    };
    for (size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '\n')
            ++line;
        if (quoted) {
            if (c != '"')
                current.cells.back() += c;
            else if (i + 1 < text.size() && text[i + 1] == '"')
                current.cells.back() += text[++i];
            else
                quoted = false;
        } else if (c == '"' && current.cells.back().empty()) {
            quoted = true;
            quoteLine = line;
        } else if (c == ',')
            current.cells.emplace_back();
        else if (c == '\n')
            endLine();
        else if (c != '\r' || i + 1 >= text.size() || text[i + 1] != '\n')
            current.cells.back() += c;
    }
    endLine();
    return quoted ? quoteLine : 0;
}

template <typename Row> std::vector<std::string> fieldNames()
{
    Row row;
    std::vector<std::string> names;
    fields::visit(row, [&](const std::string& name, const auto&) { names.push_back(name); });
    return names;
}

// Position of each field in the file's header; faults for columns that are missing, unknown or repeated.
template <typename Row> std::map<std::string, size_t> readHeader(const CsvLine& header, std::vector<CsvFault>& faults)
{
    const std::vector<std::string> names = fieldNames<Row>();
    std::map<std::string, size_t> columns;
    for (size_t i = 0; i < header.cells.size(); ++i) {
        if (std::find(names.begin(), names.end(), header.cells[i]) == names.end())
            faults.push_back({ header.line, header.cells[i], "", "a known column" });
        else if (!columns.emplace(header.cells[i], i).second)
            faults.push_back({ header.line, header.cells[i], "", "each column once" });
    }
    for (const std::string& name : names) {
        if (!columns.contains(name))
            faults.push_back({ header.line, name, "", "the column has to be present" });
    }
    return columns;
}

template <typename Row> std::vector<Row> readCsv(const std::vector<CsvLine>& lines, std::vector<CsvFault>& faults)
{
    std::vector<Row> rows;
    if (lines.empty()) {
        faults.push_back({ 1, "", "", "a line with the names of the columns" });
        return rows;
    }
    const auto columns = readHeader<Row>(lines[0], faults);
    if (!faults.empty())
        return rows;
    for (size_t i = 1; i < lines.size(); ++i) {
        const CsvLine& line = lines[i];
        if (line.cells.size() != lines[0].cells.size()) {
            faults.push_back({ line.line, "", std::to_string(line.cells.size()), std::to_string(lines[0].cells.size()) + " cells" });
            continue;
        }
        Row& row = rows.emplace_back();
        fields::visit(row, [&](const std::string& name, auto& v) {
            const std::string& text = line.cells[columns.at(name)];
            const std::string_view rule = fields::fromText(text, v);
            if (!rule.empty())
                faults.push_back({ line.line, name, text, std::string(rule) });
        });
    }
    return rows;
}

} // namespace

json auditJson(const AuditEntry& entry)
{
    json cells = json::array();
    for (const CellChange& change : entry.cells)
        cells.push_back({ { "cell", change.cell }, { "old", change.before }, { "new", change.after } });
    json result { { "id", entry.editId }, { "revision", entry.revision }, { "unixMs", entry.unixMs }, { "who", entry.who },
        { "where", entry.where }, { "reason", entry.reason }, { "cells", cells } };
    if (entry.omittedCells > 0)
        result["omittedCells"] = entry.omittedCells;
    return result;
}

std::string encodeHead(TableHead& head)
{
    if (head.edits.size() > maxRecentEdits)
        head.edits.erase(head.edits.begin(), head.edits.end() - maxRecentEdits);
    std::string text = dump(headJson(head));
    while (text.size() > maxHeadBytes && head.edits.size() > 1) {
        // Half at a time, so that few encodings are needed.
        head.edits.erase(head.edits.begin(), head.edits.begin() + static_cast<std::ptrdiff_t>((head.edits.size() + 1) / 2));
        text = dump(headJson(head));
    }
    return text;
}

Result<TableHead> decodeHead(std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    TableHead head;
    int format = 0;
    Reader reader(object, "head");
    reader.required("format", format);
    reader.required("revision", head.revision);
    if (const json* pages = reader.array("pages")) {
        for (const json& item : *pages) {
            PageRef page;
            Reader fieldsOf(item, "page");
            fieldsOf.required("name", page.name);
            fieldsOf.required("revision", page.revision);
            fieldsOf.required("storeRevision", page.storeRevision);
            if (!fieldsOf.done().empty())
                return wrongType(fieldsOf.done());
            head.pages.push_back(std::move(page));
        }
    }
    if (const json* retired = reader.array("retired")) {
        for (const json& item : *retired) {
            RetiredPage page;
            Reader fieldsOf(item, "retired page");
            fieldsOf.required("key", page.key);
            fieldsOf.required("storeRevision", page.storeRevision);
            fieldsOf.required("since", page.since);
            if (!fieldsOf.done().empty())
                return wrongType(fieldsOf.done());
            head.retired.push_back(std::move(page));
        }
    }
    if (const json* edits = reader.array("edits")) {
        for (const json& item : *edits) {
            Result<AuditEntry> entry = readAudit(item);
            if (!entry)
                return *entry.reason;
            head.edits.push_back(std::move(*entry));
        }
    }
    if (!reader.done().empty())
        return wrongType(reader.done());
    if (format != formatVersion)
        return wrongType("head has format " + std::to_string(format) + ", known is " + std::to_string(formatVersion));
    if (head.revision == 0)
        return wrongType("head has revision 0");
    return head;
}

PageCounts pageCounts(const TableHead& head)
{
    PageCounts counts;
    for (const PageRef& page : head.pages)
        ++counts[page.name.substr(0, page.name.rfind('-'))];
    return counts;
}

std::vector<TablePage> splitPages(const Table& table, const PageCounts& counts)
{
    std::vector<TablePage> pages;
    fields::forEachSection(table, [&](std::string_view section, const auto& rows) {
        using Rows = std::decay_t<decltype(rows)>;
        const auto found = counts.find(section);
        const size_t count = found == counts.end() ? 1 : found->second;
        std::vector<Rows> parts(count);
        for (const auto& row : rows) {
            const std::string key = fields::key(row);
            parts[XXH3_64bits(key.data(), key.size()) % count].push_back(row);
        }
        for (size_t i = 0; i < count; ++i) {
            TablePage page { std::string(section) + "-" + std::to_string(i), {} };
            fields::forEachSection(page.rows, [&](std::string_view, auto& target) {
                if constexpr (std::is_same_v<std::decay_t<decltype(target)>, Rows>)
                    target = std::move(parts[i]);
            });
            pages.push_back(std::move(page));
        }
    });
    return pages;
}

std::string encodePage(const TablePage& page, const AuditEntry& edit)
{
    json rows = json::array();
    fields::forEachSection(page.rows, [&](std::string_view, const auto& list) {
        for (const auto& row : list)
            rows.push_back(rowJson(row));
    });
    return dump({ { "format", formatVersion }, { "name", page.name }, { "rows", rows }, { "edit", auditJson(edit) } });
}

std::string pageRevision(uint64_t revision, std::string_view editId, std::string_view text)
{
    char hash[20];
    std::snprintf(hash, sizeof hash, "%016llx", static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
    return std::to_string(revision) + "-" + std::string(editId) + "-" + hash;
}

Result<Table> decodePage(std::string_view text, std::string_view name)
{
    const json object = json::parse(text, nullptr, false);
    const std::string where = "page " + std::string(name);
    int format = 0;
    std::string written;
    Reader reader(object, where);
    reader.required("format", format);
    reader.required("name", written);
    reader.skip("edit");
    const json* rows = reader.array("rows");
    if (!reader.done().empty())
        return wrongType(reader.done());
    if (format != formatVersion || written != name)
        return wrongType(where + " has another name or format");
    Table table;
    std::string fault = where + " belongs to no section";
    const std::string_view owner = name.substr(0, name.rfind('-'));
    fields::forEachSection(table, [&](std::string_view section, auto& list) {
        if (section != owner)
            return;
        fault.clear();
        for (const json& item : *rows) {
            fault = readRow(item, where, list.emplace_back());
            if (!fault.empty())
                return;
        }
    });
    if (!fault.empty())
        return wrongType(fault);
    return table;
}

void sortRows(Table& table)
{
    fields::forEachSection(table, [](std::string_view, auto& rows) {
        std::stable_sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) { return fields::key(a) < fields::key(b); });
    });
}

std::vector<CellFault> applyEdits(Table& table, std::span<const CellEdit> edits)
{
    std::vector<CellFault> faults;
    for (const CellEdit& edit : edits) {
        if (auto fault = applyEdit(table, edit))
            faults.push_back(std::move(*fault));
    }
    return faults;
}

std::optional<std::string> readCell(const Table& table, std::string_view cell)
{
    const auto address = parseCell(cell, false);
    if (!address)
        return std::nullopt;
    std::optional<std::string> text;
    fields::forEachSection(table, [&](std::string_view section, const auto& rows) {
        if (section != address->section)
            return;
        for (const auto& row : rows) {
            if (fields::key(row) != address->key)
                continue;
            for (auto& [name, value] : texts(row)) {
                if (name == address->field)
                    text = std::move(value);
            }
        }
    });
    return text;
}

std::vector<CellChange> diffTables(const Table& before, const Table& after)
{
    std::vector<CellChange> changes;
    diffRows("workspaces", before.workspaces, after.workspaces, changes);
    diffRows("targets", before.targets, after.targets, changes);
    diffRows("shares", before.shares, after.shares, changes);
    diffRows("moves", before.moves, after.moves, changes);
    return changes;
}

std::string exportCsv(const Table& table, std::string_view section)
{
    std::string out;
    fields::forEachSection(table, [&](std::string_view name, const auto& rows) {
        if (name != section)
            return;
        using Row = typename std::decay_t<decltype(rows)>::value_type;
        const auto addLine = [&](const std::vector<std::string>& cells) {
            for (size_t i = 0; i < cells.size(); ++i) {
                if (i > 0)
                    out += ',';
                appendCsv(out, cells[i]);
            }
            out += "\r\n";
        };
        addLine(fieldNames<Row>());
        for (const Row& row : rows) {
            std::vector<std::string> cells;
            for (auto& item : texts(row))
                cells.push_back(std::move(item.second));
            addLine(cells);
        }
    });
    return out;
}

std::vector<CsvFault> importCsv(std::string_view text, std::string_view section, Table& table)
{
    std::vector<CsvFault> faults { { 0, "", std::string(section), "one of workspaces, targets, shares, moves" } };
    fields::forEachSection(table, [&](std::string_view name, auto& rows) {
        if (name != section)
            return;
        faults.clear();
        std::vector<CsvLine> lines;
        if (const size_t open = parseCsv(text, lines)) {
            faults.push_back({ open, "", "", "a quote that is closed" });
            return;
        }
        using Row = typename std::decay_t<decltype(rows)>::value_type;
        std::vector<Row> read = readCsv<Row>(lines, faults);
        if (faults.empty())
            rows = std::move(read);
    });
    return faults;
}

} // namespace guavapond
