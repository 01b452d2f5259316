// Reading and comparing the project's own settings.

#include <catch2/catch.hpp>

#include "cuminbridge/daemon.h"
#include "tuning.h"

using namespace cuminbridge;

TEST_CASE("the printed defaults are read back as the defaults")
{
  Findings findings;
  const auto tuning = ReadTuning(FormatTuningDefaults(), findings);
  CHECK(findings.empty());
  CHECK(CompareTuning({}, tuning).empty());
  CHECK(ReadTuning("", findings).log_ == LogLimits{});
  CHECK(findings.empty());
}

TEST_CASE(
  "a comparison lists each changed setting with its old and its new value")
{
  Findings findings;
  const auto tuning = ReadTuning(
    "[fleet]\nrun_wait_ms = 300\n[log]\nlines_per_second = 50\n", findings);
  CHECK(findings.empty());
  CHECK(tuning.fleet_.batchRenewalWait_ == Millis(300));
  const auto changes = CompareTuning({}, tuning);
  REQUIRE(changes.size() == 2);
  CHECK(changes[0] == "fleet.run_wait_ms 400 -> 300");
  CHECK(changes[1] == "log.lines_per_second 800 -> 50");
}

TEST_CASE("all faults of a settings file are found, with their lines and keys")
{
  Findings findings;
  ReadTuning("[fleet]\nrun_wait_ms = 1\nhold_wait_ms = 'x'\n"
             "target_lease_ms = 1\n[log]\nburst = 0\n[lgo]\n",
             findings);
  REQUIRE(findings.size() == 5);
  const auto text = FormatFindings(findings);
  CHECK(text.find("line 2") != std::string::npos);
  CHECK(text.find("fleet.target_lease_ms") != std::string::npos);
  CHECK(text.find("lgo") != std::string::npos);
}

TEST_CASE("the mode of admission control is a setting")
{
  Findings findings;
  const auto tuning = ReadTuning("[admission]\nmode = 'on'\n", findings);
  CHECK(findings.empty());
  CHECK(tuning.admission_ == AdmissionMode::On);
  Tuning off;
  off.admission_ = AdmissionMode::Off;
  CHECK(CompareTuning(off, tuning) ==
        std::vector<std::string>{ "admission.mode off -> on" });
  ReadTuning("[admission]\nmode = 'maybe'\n", findings);
  CHECK(findings.size() == 1);
}
