// Crowds of clients that don't behave, against one address on loopback.

#ifndef cuminbridge_crowds_crowd_h
#define cuminbridge_crowds_crowd_h

#include <string>
#include <vector>

#include "cuminbridge/web.h"

namespace cuminbridge::crowds {

enum class Sort
{
  Whole,       // a body in one piece that stops just short of its end
  Pieces,      // the same in small pieces
  Chunks,      // the same in chunks
  Oversize,    // bodies far over the limit
  Fields,      // legal sizes made of very many short fields
  Ahead,       // many requests sent ahead, their answers unread
  SlowSenders, // a few bytes at a time
  SlowReaders, // large answers, read a byte at a time
  Halfway,     // stops in a head, a body or a chunk
};

inline constexpr const char* kSortNames[] = {
  "whole", "pieces",       "chunks",       "oversize", "fields",
  "ahead", "slow-senders", "slow-readers", "halfway"
};

struct Door
{
  std::string name_;
  std::string address_; // host:port
  std::string path_;
};

// All clients of one crowd. They connect and send at once, each for a limited
// time, then stay open until Leave().
class Crowd
{
public:
  Crowd(boost::asio::io_context& aIo, Sort aSort, Door aDoor, int aClients);

  void Come();
  bool IsSettled() const { return settled_ == clients_; } // nobody sends
  void Leave();
  bool IsGone() const { return gone_ == clients_; }

private:
  struct Client;

  Awaitable<void> RunClient(int aNumber);
  Awaitable<void> Misbehave(Client& aClient, int aNumber);
  std::string Head(const std::string& aMethod, const std::string& aRest) const;

  boost::asio::io_context& io_;
  Sort sort_;
  Door door_;
  int clients_;
  int settled_ = 0;
  int gone_ = 0;
  boost::asio::steady_timer leaving_;
};

} // namespace cuminbridge::crowds

#endif // cuminbridge_crowds_crowd_h
