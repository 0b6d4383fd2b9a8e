// guavapond: reads and changes the operators' table.
#include "adapters/HttpPlatform.h"
#include "core/TableStore.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

using namespace guavapond;

namespace {

constexpr int exitRefused = 1;
constexpr std::array<const char*, 4> sections { "workspaces", "targets", "shares", "moves" };

std::string newEditId()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << device() << device();
    return text.str();
}

std::string readFile(const std::string& name)
{
    std::ifstream file(name);
    return { std::istreambuf_iterator<char>(file), {} };
}

int report(const EditOutcome& outcome)
{
    if (outcome.revision) {
        std::cout << "in effect with revision " << *outcome.revision << "\n";
        return 0;
    }
    std::cerr << (outcome.reason ? outcome.reason->message : "refused") << "\n";
    for (const auto& fault : outcome.faults)
        std::cerr << fault.cell << " = " << fault.value << ": allowed: " << fault.allowed << "\n";
    return exitRefused;
}

struct Options {
    std::string platform;
    std::string cell;
    std::string value;
    std::string directory;
    std::string reason;
};

TableEdit newEdit(const TableStore& store, const Options& options)
{
    TableEdit edit;
    edit.id = newEditId();
    edit.seenRevision = store.head().revision;
    edit.who = "operator";
    edit.reason = options.reason;
    edit.unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return edit;
}

int set(TableStore& store, const Options& options)
{
    auto edit = newEdit(store, options);
    edit.cells.push_back({ CellEdit::Action::Set, options.cell, options.value });
    return report(store.edit(edit));
}

int import(TableStore& store, const Options& options)
{
    Table table = store.current()->table();
    for (const auto* section : sections) {
        auto text = readFile(options.directory + "/" + section + ".csv");
        if (text.empty())
            continue;
        for (const auto& fault : importCsv(text, section, table)) {
            std::cerr << section << ".csv:" << fault.line << ": " << fault.column << " = " << fault.value << ": allowed: " << fault.allowed
                      << "\n";
            return exitRefused;
        }
    }
    auto edit = newEdit(store, options);
    edit.whole = std::move(table);
    return report(store.edit(edit));
}

int show(const TableStore& store)
{
    for (const auto* section : sections)
        std::cout << exportCsv(store.current()->table(), section) << "\n";
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "guavapond: the operators' command line" };
    Options options;
    auto* table = app.add_subcommand("table", "the operators' table")->require_subcommand(1);
    table->add_option("--platform", options.platform, "URL of the key-value service")->required();
    auto* setCommand = table->add_subcommand("set", "change one cell");
    setCommand->add_option("cell", options.cell)->required();
    setCommand->add_option("value", options.value)->required();
    setCommand->add_option("--reason", options.reason);
    auto* importCommand = table->add_subcommand("import", "replace sections by DIR/SECTION.csv");
    importCommand->add_option("directory", options.directory)->required();
    importCommand->add_option("--reason", options.reason);
    auto* showCommand = table->add_subcommand("show", "print the table as CSV");
    app.require_subcommand(1);
    CLI11_PARSE(app, argc, argv);

    HttpPlatformSettings platform;
    platform.urls = { options.platform };
    TableStore store(httpKeyValue(platform), {});
    auto loaded = store.refresh();
    if (!loaded) {
        std::cerr << loaded.reason->message << "\n";
        return exitRefused;
    }
    if (setCommand->parsed())
        return set(store, options);
    if (importCommand->parsed())
        return import(store, options);
    return showCommand->parsed() ? show(store) : exitRefused;
}
