// Starts processes and reaps them.

#include "processes.h"

#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cuminbridge::soak {

Process::Process(std::vector<std::string> aCommand, std::string aLog)
  : command_(std::move(aCommand))
  , log_(std::move(aLog))
{
}

Process::~Process()
{
  Kill();
}

void
Process::Start()
{
  if (IsRunning()) {
    return;
  }
  std::vector<char*> words;
  words.reserve(command_.size() + 1);
  for (auto& word : command_) {
    words.push_back(word.data());
  }
  words.push_back(nullptr);
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   log_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   kMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A link's socket that a child kept open would go on to accept connections.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error =
    posix_spawn(&id_, words[0], &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    id_ = 0;
    throw std::runtime_error(command_[0] + " can't be started");
  }
}

void
Process::Signal(int aSignal)
{
  if (IsRunning()) {
    kill(id_, aSignal);
  }
}

void
Process::Kill()
{
  if (IsRunning()) {
    kill(id_, SIGKILL);
    int status = 0;
    waitpid(id_, &status, 0);
    RecordExit(status);
  }
}

bool
Process::IsRunning()
{
  int status = 0;
  if (id_ != 0 && waitpid(id_, &status, WNOHANG) == id_) {
    RecordExit(status);
  }
  return id_ != 0;
}

void
Process::RecordExit(int aStatus)
{
  id_ = 0;
  exitCode_ = WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : -1;
}

} // namespace cuminbridge::soak
