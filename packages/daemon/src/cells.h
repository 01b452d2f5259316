// Internal: how the fleet is divided into cells. Pure functions.
//
// A cell is the unit of ownership: a part of the VMs of every pool, with the
// jobs given to it. Each cell has an owner, a fencing token and records of its
// own, and is run as a fleet of its own. The VMs are dealt out when the fleet
// first starts; later ones belong to a cell by the hash of their name, and jobs
// by the hash of their id. So every entry knows the cell of each without
// asking. A move between pools leaves a VM in its cell.
//
// A job that does not fit into its cell may be transferred to another one
// before it starts. Its record in its own cell then names the other.
//
// The map of cells is stored when the fleet first starts, and stays.
//
// Index of this file:
//   [SECTION] Division
//   [SECTION] Who owns a cell
//   [SECTION] Maintenance waves

#ifndef cuminbridge_daemon_cells_h
#define cuminbridge_daemon_cells_h

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cuminbridge/jobs.h"

namespace cuminbridge {

//-----------------------------------------------------------------------------
// [SECTION] Division
//-----------------------------------------------------------------------------

// The cell of a name by its hash: a number from 0.
int CellOf(std::string_view aName, int aCount);

struct CellMap
{
  int count_ = 1; // of cells
  // The VMs that the fleet had when it first started; others go by their name's
  // hash.
  std::map<std::string, int, std::less<>> vms_;

  int CellOfVm(std::string_view aName) const;
  int CellOfJob(std::string_view aId) const { return CellOf(aId, count_); }

  bool operator==(const CellMap&) const = default;
};

// Deals the VMs out, so that each cell gets its part of each pool and rack.
CellMap DealVms(std::vector<Vm> aVms, int aCount);

std::string EncodeCellMap(const CellMap& aMap);
// One cell if the text can't be decoded.
CellMap DecodeCellMap(const std::string& aText);

// What an entry can carry, as it has registered it.
struct EntryCapacity
{
  double cpuShare_ = 0;              // of a core
  double linkBytesPerSecond_ = 1e12; // each way

  bool operator==(const EntryCapacity&) const = default;
};

// Smaller cells can't place wide steps.
inline constexpr std::size_t kMinCellVms = 48;

// The number of cells with which even the weakest entry can own one.
int ChooseCellCount(std::size_t aVms,
                    const std::vector<EntryCapacity>& aEntries);

// The most cells whose owners can all list the VMs often enough to plan moves.
int MaxCellsByVmList(int aPages, double aPagesPerSecond);

// How often each owner may list the VMs, so that all of them together stay
// within the platform's rate of pages.
Millis VmListInterval(int aPages, int aCells, double aPagesPerSecond);

//-----------------------------------------------------------------------------
// [SECTION] Who owns a cell
//-----------------------------------------------------------------------------

struct OwnerCandidate
{
  std::string name_;
  double cpuShare_ = 0; // of a core
  int cells_ = 0;       // that it owns

  bool operator==(const OwnerCandidate&) const = default;
};

// The candidates in the order in which they should take a cell: those with
// enough processor time first, those that own fewer cells first, and else by a
// hash that differs from cell to cell.
std::vector<OwnerCandidate> RankCandidates(
  std::vector<OwnerCandidate> aCandidates,
  int aCell);

// How long the candidate at this place leaves a cell without an owner to those
// before it; 0 for the first.
Millis ElectionDelay(std::size_t aPlace);

// Whether an owner with aShare of a core for each of its cells should hand one
// over to an entry with aOtherShare that owns none.
bool ShouldYield(double aShare, double aOtherShare);

//-----------------------------------------------------------------------------
// [SECTION] Maintenance waves
//-----------------------------------------------------------------------------

// The part of a wave that is a cell's: its VMs, and its part of maxDown_. The
// parts of all cells add up to no more than the wave's maxDown_. aCompleted
// holds the cells that have completed theirs: a cell whose part of maxDown_ is
// 0 waits until its turn comes after them.
Wave PartOfWave(const Wave& aWave,
                const CellMap& aMap,
                int aCell,
                const std::set<int>& aCompleted);

// The cells with VMs in the wave.
std::set<int> CellsOfWave(const Wave& aWave, const CellMap& aMap);

} // namespace cuminbridge

#endif // cuminbridge_daemon_cells_h
