// How the fleet is divided into cells, and how cells share waves and limits.

#include <numeric>
#include <random>

#include <catch2/catch.hpp>

#include "account_grants.h"
#include "cells.h"

using namespace cuminbridge;

namespace {

std::vector<Vm>
MakeVms(int aCount, const std::vector<std::string>& aPools)
{
  std::vector<Vm> vms;
  for (int index = 0; index < aCount; ++index) {
    Vm vm;
    vm.name_ = "vm-" + std::to_string(index * 7919 % 10007);
    vm.pool_ = aPools[static_cast<std::size_t>(index) % aPools.size()];
    vm.rack_ = "r" + std::to_string(index / 20);
    vms.push_back(std::move(vm));
  }
  return vms;
}

EntryCapacity
MakeEntry(double aCpuShare, double aMbps)
{
  return { aCpuShare, aMbps * 125000 };
}

} // namespace

TEST_CASE("the hash of a name never changes")
{
  // Stored jobs would be looked for in other cells.
  CHECK(CellOf("5c0e7a21d94b36f8", 3) == CellOf("5c0e7a21d94b36f8", 3));
  CHECK(CellOf("0000000000000001", 4) == 2);
  CHECK(CellOf("0000000000000002", 4) == 2);
  CHECK(CellOf("anything", 1) == 0);
}

TEST_CASE("jobs are divided evenly")
{
  constexpr int kCells = 5;
  std::vector<int> counts(kCells, 0);
  for (int job = 0; job < 10000; ++job) {
    ++counts[static_cast<std::size_t>(
      CellOf("job-" + std::to_string(job), kCells))];
  }
  for (const int count : counts) {
    CHECK(count > 1800);
    CHECK(count < 2200);
  }
}

TEST_CASE("every cell gets its part of each pool")
{
  const auto vms = MakeVms(540, { "a", "b", "c", "d", "spare" });
  const auto map = DealVms(vms, 4);
  std::map<std::string, std::vector<int>> counts;
  for (const auto& vm : vms) {
    counts[vm.pool_].resize(4);
    ++counts[vm.pool_][static_cast<std::size_t>(map.CellOfVm(vm.name_))];
  }
  for (const auto& [pool, cells] : counts) {
    for (const int count : cells) {
      CHECK(std::abs(count - 27) <= 1);
    }
  }
  CHECK(DecodeCellMap(EncodeCellMap(map)) == map);
  // A VM that is added later has a cell too, the same for everyone.
  CHECK(map.CellOfVm("new") == CellOf("new", 4));
}

TEST_CASE("a map of cells that can't be decoded is that of one cell")
{
  // Fleets that ran before there were cells have one.
  CHECK(DecodeCellMap("1") == CellMap{});
  CHECK(DecodeCellMap("") == CellMap{});
  CHECK(DecodeCellMap("{}") == CellMap{});
  CHECK(DecodeCellMap("3").count_ == 3);
}

TEST_CASE("there are as many cells as the weakest entry needs")
{
  const auto strong = MakeEntry(0.5, 200);
  const auto small = MakeEntry(0.25, 1000);
  const auto weak = MakeEntry(0.12, 20);
  CHECK(ChooseCellCount(48, { small }) == 1);
  CHECK(ChooseCellCount(540, { strong, strong }) == 1);
  CHECK(ChooseCellCount(540, { strong, weak }) == 3);
  CHECK(ChooseCellCount(350, { strong, MakeEntry(0.12, 10) }) == 3);
  CHECK(ChooseCellCount(95, { MakeEntry(0.12, 2) }) == 2);
  CHECK(ChooseCellCount(0, { weak }) == 1);
  // Even for a link that carries nothing, cells keep a useful size.
  CHECK(ChooseCellCount(100, { MakeEntry(0.001, 0.001) }) == 3);
}

TEST_CASE("all owners together list VMs within the platform's rate")
{
  // 3,000 VMs on 15 pages, 15 owners: each list by each owner every 400 ms
  // would take 560 pages a second.
  const auto interval = VmListInterval(15, 15, 300);
  CHECK(15.0 * 15 / (0.001 * static_cast<double>(interval.count())) <= 200);
  CHECK(VmListInterval(1, 1, 64) < Millis(100));
  // With more cells than that, no owner could plan moves (sweep at 300
  // entries).
  CHECK(MaxCellsByVmList(15, 54) == 3);
  CHECK(MaxCellsByVmList(3, 54) >= 4);
  CHECK(MaxCellsByVmList(1, 64) >= 16);
  CHECK(MaxCellsByVmList(100, 10) == 1);
  CHECK(VmListInterval(1, 1, 0) >= Millis(1000));
}

TEST_CASE("strong entries come first, then those with fewer cells")
{
  const std::vector<OwnerCandidate> candidates = { { "weak-1", 0.12, 0 },
                                                   { "strong-1", 0.5, 1 },
                                                   { "strong-2", 0.5, 0 },
                                                   { "weak-2", 0.12, 0 },
                                                   { "strong-3", 0.4, 0 } };
  const auto ranked = RankCandidates(candidates, 0);
  CHECK(ranked[2].name_ == "strong-1");
  CHECK(ranked[3].cpuShare_ == 0.12);
  // Different cells prefer different entries.
  std::set<std::string> first;
  for (int cell = 0; cell < 20; ++cell) {
    first.insert(RankCandidates(candidates, cell).front().name_);
  }
  CHECK(first == std::set<std::string>{ "strong-2", "strong-3" });
  CHECK(ElectionDelay(0) == Millis(0));
  CHECK(ElectionDelay(1) > Millis(0));
  CHECK(ElectionDelay(1000) <= Millis(300));
}

TEST_CASE("an owner yields only to an entry that is far stronger")
{
  CHECK(ShouldYield(0.12, 0.5));
  CHECK(ShouldYield(0.25, 0.5)); // half a core for two cells
  CHECK_FALSE(ShouldYield(0.4, 0.5));
  CHECK_FALSE(ShouldYield(0.5, 0.12));
}

TEST_CASE("the parts of a wave never exceed its limit, and all come to an end")
{
  std::mt19937 random(20261204);
  const auto draw = [&](int aLeast, int aMost) {
    return std::uniform_int_distribution<int>(aLeast, aMost)(random);
  };
  for (int round = 0; round < 500; ++round) {
    CellMap map;
    map.count_ = draw(1, 9);
    Wave wave;
    wave.number_ = round;
    wave.maxDown_ = draw(1, 12);
    for (int vm = draw(1, 60); vm > 0; --vm) {
      wave.vms_.push_back("vm-" + std::to_string(draw(0, 100000)));
    }
    const auto cells = CellsOfWave(wave, map);
    std::set<int> completed;
    // Each round, the cells that may go complete their part.
    for (int step = 0; step < map.count_ && completed != cells; ++step) {
      int sum = 0;
      std::size_t vms = 0;
      std::set<int> going;
      for (int cell = 0; cell < map.count_; ++cell) {
        const auto part = PartOfWave(wave, map, cell, completed);
        vms += part.vms_.size();
        if (!part.vms_.empty() && completed.count(cell) == 0) {
          sum += part.maxDown_;
          if (part.maxDown_ > 0) {
            going.insert(cell);
          }
        }
      }
      CHECK(vms == wave.vms_.size());
      CHECK(sum <= wave.maxDown_);
      REQUIRE(!going.empty());
      completed.insert(going.begin(), going.end());
    }
    CHECK(completed == cells);
  }
}

TEST_CASE(
  "the parts of a limit never exceed it, and are given to who needs them")
{
  constexpr int kCells = 4;
  std::mt19937 random(20261204);
  const auto draw = [&](int aMost) {
    return std::uniform_int_distribution<int>(0, aMost)(random);
  };
  AccountGrants grants;
  std::vector<LimitUse> uses(kCells);
  for (int round = 0; round < 2000; ++round) {
    const int number = draw(kCells - 1);
    const Cell cell{ number, kCells };
    auto& use = uses[static_cast<std::size_t>(number)];
    const int part = PartOf(grants, "x", cell);
    use.running_ = draw(part);
    use.wanted_ = use.running_ + draw(400);
    grants = PlanGrants(grants, cell, { { "x", use } });
    CHECK(PartOf(grants, "x", cell) >= use.running_);
    int sum = 0;
    for (int other = 0; other < kCells; ++other) {
      sum += PartOf(grants, "x", { other, kCells });
    }
    CHECK(sum <= kWholeLimit);
  }
  // Three cells are idle: the fourth gets nearly all.
  AccountGrants empty;
  for (int round = 0; round < 2; ++round) {
    for (int number = 0; number < kCells; ++number) {
      const LimitUse use{ 0, number == 2 ? 1000 : 0 };
      empty = PlanGrants(empty, { number, kCells }, { { "x", use } });
    }
  }
  CHECK(PartOf(empty, "x", { 2, kCells }) >= 800);
}

TEST_CASE("an account's work in one of many cells gets nearly the whole limit")
{
  // With fifteen cells, what idle ones kept was nearly their equal part:
  // nothing was given back, and jobs waited for ever (sweep at 300 entries).
  for (const int cells : { 2, 3, 8, 15, 72 }) {
    AccountGrants grants;
    for (int round = 0; round < 2; ++round) {
      for (int number = 0; number < cells; ++number) {
        const LimitUse use{ 0, number == 1 ? kWholeLimit : 0 };
        grants = PlanGrants(grants, { number, cells }, { { "x", use } });
      }
    }
    INFO(cells << " cells");
    CHECK(PartOf(grants, "x", { 1, cells }) >= 700);
  }
}

TEST_CASE("grants are decoded as they were encoded, and damaged ones ignored")
{
  AccountGrants grants;
  grants.parts_["x"] = { 100, 700, 200 };
  CHECK(DecodeGrants(EncodeGrants(grants), 3) == grants);
  CHECK(DecodeGrants(EncodeGrants(grants), 4) == AccountGrants{});
  CHECK(DecodeGrants("damaged", 3) == AccountGrants{});
  CHECK(PartOf(AccountGrants{}, "x", { 0, 4 }) == 250);
}
