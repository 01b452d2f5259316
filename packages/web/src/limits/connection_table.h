// Internal: the connections of a server and what they hold.
//
// When there are too many, or they hold too much, the one that has gone without
// a whole request for longest is closed. A client that sends its requests whole
// is thereby closed after all those that stop short, send slowly or don't read.

#ifndef cuminbridge_web_limits_connection_table_h
#define cuminbridge_web_limits_connection_table_h

#include <list>
#include <map>
#include <memory>
#include <string>

#include "cuminbridge/web.h"

namespace cuminbridge {

class LimitedConnection
{
public:
  explicit LimitedConnection(std::string aPeer)
    : peer_(std::move(aPeer))
  {
  }
  virtual ~LimitedConnection() = default;
  LimitedConnection(const LimitedConnection&) = delete;
  LimitedConnection& operator=(const LimitedConnection&) = delete;

  virtual void Close() = 0; // ends what it waits for

  std::string peer_;          // address, without the port
  std::size_t heldBytes_ = 0; // set by ConnectionTable::Hold()
  bool isHandling_ = false;   // its request runs: it is not closed for others
  bool isClosed_ = false;     // closed for another one, or removed
};

class ConnectionTable
{
public:
  using Row = std::shared_ptr<LimitedConnection>;

  // Closes one connection if aMost are open. False if all of them are being
  // handled.
  bool MakeRoom(std::size_t aMost);
  std::size_t CountOfPeer(const std::string& aPeer) const;
  void Add(const Row& aRow);
  void Remove(const Row& aRow);
  // The connection has delivered a whole request.
  void Renew(const Row& aRow);
  // Sets the bytes that a connection holds. Closes others until all hold aMost
  // together; false if that is not possible, and then aRow holds nothing.
  bool Hold(const Row& aRow, std::size_t aBytes, std::size_t aMost);
  void Count(LimitCause aCause);

  // The one that has gone without a whole request for longest comes first.
  const std::list<Row>& Rows() const { return rows_; }
  std::size_t OpenCount() const { return openCount_; }
  std::size_t HeldBytes() const { return heldBytes_; }
  const LimitCounts& Counts() const { return counts_; }

private:
  void Forget(LimitedConnection& aConnection);
  void CloseFor(LimitedConnection& aConnection, LimitCause aCause);

  std::list<Row> rows_;
  std::map<const LimitedConnection*, std::list<Row>::iterator> places_;
  std::map<std::string, std::size_t> peers_; // open connections of each
  std::size_t openCount_ = 0;
  std::size_t heldBytes_ = 0;
  LimitCounts counts_{};
};

} // namespace cuminbridge

#endif // cuminbridge_web_limits_connection_table_h
