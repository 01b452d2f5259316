// Internal: what an entry knows of the backlogs of all cells. A pure function
// of the reports that it gets.

#ifndef cuminbridge_daemon_admission_backlogs_h
#define cuminbridge_daemon_admission_backlogs_h

#include "cuminbridge/admission.h"

namespace cuminbridge {

// A report that is older says too little: a VM that is ordered after it was
// made has moved by then, and another owner may have taken over.
inline constexpr Millis kMaxBacklogAge(1000);
// While a pool is short, entries ask its owner again after this.
inline constexpr Millis kBacklogInterval(100);

class Backlogs
{
public:
  struct Known
  {
    PoolBacklog backlog_;
    int term_ = 0;
    std::uint64_t version_ = 0;
    Millis age_{ 0 }; // at most
  };

  // The owner of a cell has answered a request that was sent at aAskedAt.
  // Reports of earlier owners, and older ones of the same owner, are ignored.
  void Note(int aCell, BacklogReport aReport, Instant aAskedAt);

  // The answer says that no pool of the cell is short, or there is no owner.
  void NoteNone(int aCell);

  // Nothing if the pool is not short, or no recent report tells.
  std::optional<Known> Find(int aCell,
                            const std::string& aPool,
                            Instant aNow) const;

  // Whether to ask the owner before a decision: the pool was short when it last
  // told, and that is not recent. Once asked, not again within
  // kBacklogInterval.
  bool TakeQuestion(int aCell, const std::string& aPool, Instant aNow);

private:
  struct Cell
  {
    BacklogReport report_;
    Instant askedAt_;
    Instant nextQuestion_;
  };

  static const PoolBacklog* FindPool(const Cell& aCell,
                                     const std::string& aPool);

  std::map<int, Cell> cells_;
};

} // namespace cuminbridge

#endif // cuminbridge_daemon_admission_backlogs_h
