// Appends audit entries to a file and rotates it by size.
#include "adapters/AuditLog.h"

#include <filesystem>
#include <nlohmann/json.hpp>

namespace guavapond {

namespace {

using nlohmann::json;
namespace fs = std::filesystem;

std::string numbered(const std::string& file, uint32_t number) { return file + "." + std::to_string(number); }

// A line cut short by a crash does not parse and is passed over.
uint64_t highestRevision(const std::string& file)
{
    std::ifstream in(file);
    uint64_t highest = 0;
    for (std::string line; std::getline(in, line);) {
        const json entry = json::parse(line, nullptr, false);
        if (entry.is_object() && entry.contains("revision") && entry["revision"].is_number_unsigned())
            highest = std::max(highest, entry["revision"].get<uint64_t>());
    }
    return highest;
}

bool endsInLine(const std::string& file)
{
    std::ifstream in(file, std::ios::binary | std::ios::ate);
    if (!in || in.tellg() == std::streampos(0))
        return true;
    in.seekg(-1, std::ios::end);
    return in.get() == '\n';
}

} // namespace

AuditLog::AuditLog(AuditLogSettings s)
    : settings(std::move(s))
{
    if (this->settings.file.empty())
        return;
    this->last = std::max(highestRevision(this->settings.file), highestRevision(numbered(this->settings.file, 1)));
    const bool whole = endsInLine(this->settings.file);
    std::error_code ignored;
    const uintmax_t size = fs::file_size(this->settings.file, ignored);
    this->bytes = ignored ? 0 : size;
    this->out.open(this->settings.file, std::ios::app | std::ios::binary);
    if (!whole)
        append("\n");
}

bool AuditLog::record(std::span<const AuditEntry> entries)
{
    const std::lock_guard lock(this->mutex);
    for (const AuditEntry& entry : entries) {
        if (entry.revision <= this->last)
            continue;
        const std::string line = auditJson(entry).dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
        if (!this->settings.file.empty() && !append(line))
            return false;
        this->last = entry.revision;
    }
    return true;
}

uint64_t AuditLog::lastRevision() const
{
    const std::lock_guard lock(this->mutex);
    return this->last;
}

bool AuditLog::append(const std::string& line)
{
    if (this->bytes > 0 && this->bytes + line.size() > this->settings.maxBytes)
        rotate();
    this->out.clear();
    if (!this->out.is_open())
        this->out.open(this->settings.file, std::ios::app | std::ios::binary);
    this->out << line;
    this->out.flush();
    if (!this->out)
        return false;
    this->bytes += line.size();
    return true;
}

void AuditLog::rotate()
{
    this->out.close();
    std::error_code ignored; // a file of that number may not exist yet
    fs::remove(numbered(this->settings.file, this->settings.files), ignored);
    for (uint32_t i = this->settings.files; i > 1; --i)
        fs::rename(numbered(this->settings.file, i - 1), numbered(this->settings.file, i), ignored);
    fs::rename(this->settings.file, numbered(this->settings.file, 1), ignored);
    this->out.open(this->settings.file, std::ios::app | std::ios::binary);
    this->bytes = 0;
}

} // namespace guavapond
