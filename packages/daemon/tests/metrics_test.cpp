// Metrics in the Prometheus text format.

#include <regex>

#include <catch2/catch.hpp>

#include "daemon_metrics.h"

using namespace cuminbridge;

TEST_CASE("each bucket counts all times up to its bound, cumulatively")
{
  Histogram histogram;
  for (const int time : { 1, 2, 3, 100, 101, 4000 }) {
    histogram.Add(Millis(time));
  }
  const auto text = histogram.Format("x");
  CHECK(text.find("x_bucket{le=\"0.002\"} 2\n") != std::string::npos);
  CHECK(text.find("x_bucket{le=\"0.1\"} 4\n") != std::string::npos);
  CHECK(text.find("x_bucket{le=\"3\"} 5\n") != std::string::npos);
  CHECK(text.find("x_bucket{le=\"+Inf\"} 6\n") != std::string::npos);
  CHECK(text.find("x_sum 4.207\n") != std::string::npos);
  CHECK(text.find("x_count 6\n") != std::string::npos);
}

TEST_CASE("the metrics name the version and the commit of the build")
{
  const std::regex lines("# HELP cuminbridge_build_info [^\n]+\n"
                         "# TYPE cuminbridge_build_info gauge\n"
                         "cuminbridge_build_info\\{"
                         "version=\"[0-9]+\\.[0-9]+\\.[0-9]+\","
                         "commit=\"[A-Za-z0-9._/+-]+\"\\} 1\n");
  CHECK(std::regex_match(FormatBuildInfo(), lines));
}
