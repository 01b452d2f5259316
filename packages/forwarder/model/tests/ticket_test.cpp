// Parsing, checking and applying tickets. A faulty ticket must list all of its
// faults.

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <boost/leaf/handle_errors.hpp>

#include "cuminbridge/model.h"

using namespace cuminbridge;
using namespace cuminbridge::forwarder;
namespace leaf = boost::leaf;

namespace {

Findings
ParseForFindings(std::string_view aText)
{
  Findings findings;
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_CHECK(ParseTicket(aText));
      return {};
    },
    [&](const Findings& aFindings) { findings = aFindings; },
    [&] { findings.push_back({}); });
  return findings;
}

Ticket
Parse(std::string_view aText)
{
  auto ticket = ParseTicket(aText);
  REQUIRE(ticket);
  return std::move(*ticket);
}

const std::string kValidTicket = "ticket = 7\n"
                                 "[pool.windhoek-a]\n"
                                 "vms = [\"10.1.0.12\", \"10.1.0.11\"]\n"
                                 "min_available = 1\n"
                                 "[account.collections]\n"
                                 "keys = [\"" +
                                 HashKey("secret") +
                                 "\"]\n"
                                 "share = 3\n"
                                 "limit = 40\n";

} // namespace

TEST_CASE("a valid ticket is parsed completely")
{
  const Ticket ticket = Parse(kValidTicket);
  REQUIRE(ticket.number_ == 7);
  REQUIRE(ticket.pools_.size() == 1);
  REQUIRE(ticket.pools_[0].vms_ ==
          std::vector<std::string>{ "10.1.0.11", "10.1.0.12" });
  REQUIRE(ticket.accounts_[0].limit_ == 40);
  REQUIRE(ticket.digest_ == Sha256Hex(kValidTicket));
}

TEST_CASE("all faults of a ticket are reported together, each with its place")
{
  const Findings findings =
    ParseForFindings("ticket = 0\n"
                     "colour = 1\n"
                     "[pool.\"bad name\"]\n"
                     "vms = [\"host.example\", \"10.0.0.1\"]\n"
                     "min_available = 3\n"
                     "[account.t]\n"
                     "keys = [\"clear-text-key\"]\n"
                     "share = 0\n");
  REQUIRE(findings.size() == 8);
  const std::string text = FormatFindings(findings);
  for (const char* part : { "line 1, column 10, ticket: ",
                            "colour: is not a known key",
                            "pool name",
                            "'host.example' is not an IP number",
                            "min_available: is more than the pool has VMs",
                            "line 7, column 8, account.t.keys",
                            "account.t.share",
                            "account.t.limit: is missing" }) {
    CAPTURE(text, part);
    REQUIRE(text.find(part) != std::string::npos);
  }
  // A ticket may hold a clear key by mistake. Findings go to answers and logs,
  // so they must not quote it.
  REQUIRE(text.find("clear-text-key") == std::string::npos);
}

TEST_CASE("a VM is in one pool only, and a move must name both pools")
{
  const ConfigPtr base =
    ApplyTicket(Parse(kValidTicket), *ConfigBuilder().Build());
  const std::string taken = "ticket = 8\n[pool.b]\nvms = [\"10.1.0.11\"]\n"
                            "min_available = 0\n";
  REQUIRE(CheckTicket(Parse(taken), *base).size() == 1);
  const std::string move = taken + "[pool.windhoek-a]\nvms = [\"10.1.0.12\"]\n"
                                   "min_available = 0\n";
  REQUIRE(CheckTicket(Parse(move), *base).empty());
  const ConfigPtr next = ApplyTicket(Parse(move), *base);
  REQUIRE(next->poolOfVm_.at("10.1.0.11") == "b");
  REQUIRE(next->poolOfVm_.at("10.1.0.12") == "windhoek-a");
  const std::string twice = "ticket = 8\n[pool.b]\nvms = [\"10.9.0.1\"]\n"
                            "min_available = 0\n[pool.c]\n"
                            "vms = [\"10.9.0.1\"]\nmin_available = 0\n";
  REQUIRE(CheckTicket(Parse(twice), *base).size() == 1);
}

TEST_CASE("loweredIn_ records the ticket that lowered a limit")
{
  const ConfigPtr base =
    ApplyTicket(Parse(kValidTicket), *ConfigBuilder().Build());
  std::string lower = kValidTicket;
  lower.replace(lower.find("ticket = 7"), 10, "ticket = 8");
  std::string same = lower;
  lower.replace(lower.find("limit = 40"), 10, "limit = 39");
  REQUIRE(
    ApplyTicket(Parse(lower), *base)->accounts_.at("collections")->loweredIn_ ==
    8);
  REQUIRE(
    ApplyTicket(Parse(same), *base)->accounts_.at("collections")->loweredIn_ ==
    0);
}

TEST_CASE("malformed text gives findings and never a crash or an exception")
{
  REQUIRE(rc::check([](const std::string& aText) { ParseForFindings(aText); }));
  // A valid ticket with a few changed bytes reaches more of the parser than
  // random text does.
  REQUIRE(rc::check([] {
    std::string text = kValidTicket;
    const auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      text[at] = *rc::gen::arbitrary<char>();
    }
    const Findings findings = ParseForFindings(text);
    RC_ASSERT(findings.empty() == static_cast<bool>(ParseTicket(text)));
  }));
}
