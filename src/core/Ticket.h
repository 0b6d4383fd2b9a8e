// Tickets: the names under which requests are dispatched at most once.
//
// Index
//   NodeIdentity             a node and one incarnation of it
//   Ticket                   owner, sequence number, witnessed or not
//   ticketText, parseTicket  gp1.<node>.<incarnation hex>.<sequence hex>.<w|u>
//
// A ticket has exactly one text form; the parser refuses all others, so that texts can be compared in place of tickets.
#pragma once

#include "core/Types.h"

namespace guavapond {

constexpr size_t maxNodeNameLength = 64;                                        // characters
constexpr size_t maxTicketLength = 4 + maxNodeNameLength + 1 + 16 + 1 + 16 + 2; // characters

struct NodeIdentity {
    std::string node;         // letters, digits, '-' and '_'
    uint64_t incarnation = 0; // 64 random bits drawn at start

    bool operator==(const NodeIdentity&) const = default;
};

struct Ticket {
    NodeIdentity owner;
    uint64_t sequence = 0; // from 1
    bool witnessed = false;

    bool operator==(const Ticket&) const = default;
};

bool isNodeName(std::string_view name);
std::string ticketText(const Ticket& ticket);
Result<Ticket> parseTicket(std::string_view text);

} // namespace guavapond
