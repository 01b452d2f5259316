// Tests of the settings parser and of the HTTP head helpers.

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <boost/leaf/handle_errors.hpp>

#include "cuminbridge/entry.h"
#include "http_text.h"

using namespace cuminbridge;
using namespace cuminbridge::forwarder;
namespace leaf = boost::leaf;

namespace {

const std::string kGood = "data_centre = \"a\"\n"
                          "[listen]\ncallers = \"10.0.0.1:8080\"\n"
                          "operators = \"10.0.0.1:9080\"\n"
                          "peers = \"10.0.0.1:7080\"\n"
                          "[peers]\nseeds = [\"10.0.0.2:7080\"]\n"
                          "[operators]\ncredential_file = \"/run/key\"\n"
                          "[store]\naddresses = [\"10.0.0.9:2379\"]\n"
                          "[targets]\nport = 9000\n";

Findings
FindingsOf(std::string_view aText)
{
  Findings findings;
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_CHECK(ParseSettings(aText));
      return {};
    },
    [&](const Findings& aFindings) { findings = aFindings; },
    [&] { findings.push_back({}); });
  return findings;
}

} // namespace

TEST_CASE("valid settings are parsed")
{
  const auto settings = ParseSettings(kGood);
  REQUIRE(settings);
  REQUIRE(settings->options_.self_.id_ == "10.0.0.1:7080");
  REQUIRE(settings->targetPort_ == 9000);
}

TEST_CASE("all faults of the settings are reported together")
{
  const std::string text = FormatFindings(
    FindingsOf("data_centre = 3\n[listen]\ncallers = \"here\"\n"
               "operators = \"10.0.0.1:9080\"\npeers = \"10.0.0.1:7080\"\n"
               "[peers]\nseeds = [\"10.0.0.2\"]\n[store]\naddresses = []\n"
               "[targets]\nport = 99999\nports = 1\n"
               "[times]\nheartbeat_interval_ms = 2000\n"));
  for (const char* part : { "data_centre: must be a string",
                            "listen.callers: must be an IP address and a port",
                            "peers.seeds: '10.0.0.2'",
                            "store.addresses: must name at least one store",
                            "targets.port: must be a whole number",
                            "targets.ports: is not a known key",
                            "times.heartbeat_interval_ms: must be at most half",
                            "operators: is missing" }) {
    CAPTURE(text, part);
    REQUIRE(text.find(part) != std::string::npos);
  }
}

TEST_CASE(
  "damaged settings never make the parser fail other than with findings")
{
  REQUIRE(rc::check([] {
    std::string text = kGood;
    const auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      text[*rc::gen::inRange<std::size_t>(0, text.size())] =
        *rc::gen::arbitrary<char>();
    }
    FindingsOf(text);
  }));
}

TEST_CASE("request targets and bearer tokens are parsed")
{
  REQUIRE(SplitTarget("/q/a/b/c?d").pool_ == "a");
  REQUIRE(SplitTarget("/q/a/b/c?d").path_ == "/b/c?d");
  REQUIRE(SplitTarget("/q/a").path_ == "/");
  REQUIRE(SplitTarget("/q/a?x=1").path_ == "/?x=1");
  REQUIRE(SplitTarget("/other").pool_.empty());
  REQUIRE(ReadBearer("bearer k").substr(0) == "k");
  REQUIRE(ReadBearer("Basic k").empty());
}
