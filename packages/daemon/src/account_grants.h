// Internal: how the cells share the limits of client accounts. Pure functions.
//
// One record holds, for each account, the part of its limit that each cell may
// use, in thousandths. The parts of one account never add up to more than 1000.
// A cell changes only its own part, with a write that is conditional on the
// record: it gives back what it does not need, and takes what nobody holds.

#ifndef cuminbridge_daemon_account_grants_h
#define cuminbridge_daemon_account_grants_h

#include <map>
#include <string>
#include <vector>

namespace cuminbridge {

inline constexpr int kWholeLimit = 1000; // thousandths

// What a cell uses of an account's limit, in thousandths of the limit.
struct LimitUse
{
  int running_ = 0;
  int wanted_ = 0; // running_ and what could start now

  bool operator==(const LimitUse&) const = default;
};

// Parts by account, one for each cell. An account that is missing is divided
// equally.
struct AccountGrants
{
  std::map<std::string, std::vector<int>> parts_;

  bool operator==(const AccountGrants&) const = default;
};

struct Cell
{
  int number_ = 0; // from 0
  int count_ = 1;  // of all cells

  bool operator==(const Cell&) const = default;
};

int PartOf(const AccountGrants& aGrants,
           const std::string& aAccount,
           Cell aCell);

// The record as the cell would have it, given its use of each account; equal to
// aGrants if there is nothing to change.
AccountGrants PlanGrants(const AccountGrants& aGrants,
                         Cell aCell,
                         const std::map<std::string, LimitUse>& aUses);

std::string EncodeGrants(const AccountGrants& aGrants);
// Empty if the text can't be decoded: then all limits are divided equally.
AccountGrants DecodeGrants(const std::string& aText, int aCount);

} // namespace cuminbridge

#endif // cuminbridge_daemon_account_grants_h
