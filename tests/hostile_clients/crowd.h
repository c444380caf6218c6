#ifndef WIGEONSTAIR_TESTS_HOSTILE_CLIENTS_CROWD_H_
#define WIGEONSTAIR_TESTS_HOSTILE_CLIENTS_CROWD_H_

#include <cstddef>
#include <string>
#include <vector>

#include "net/address.h"

namespace wigeonstair::hostile_clients {

// What one client sends: the opening once, then the filler again and again up
// to `bytes` in all. It then stays open.
struct Script {
  std::string opening;
  std::string filler;
  std::size_t bytes = 0;
};

enum class Reading { kNothing, kEverything };

// Clients on one thread that all send at once. Their connections stay open
// until the crowd is destroyed.
class Crowd {
 public:
  // Client i follows script i modulo their number.
  Crowd(const net::Address& server,
        const std::vector<Script>& scripts,
        std::size_t clients,
        Reading reading);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Sends until all has been sent or the server takes nothing more.
  void Send();
  std::size_t bytes_sent() const;

 private:
  struct Client {
    int handle = -1;
    const Script* script = nullptr;
    std::size_t sent = 0;
    bool open = true;
  };

  // Both return whether bytes moved.
  bool SendSome(Client& client) const;
  static bool ReadSome(Client& client);

  std::vector<Script> scripts_;
  std::vector<Client> clients_;
  Reading reading_;
};

// Sends the request on a connection of its own and returns what the server
// answers until it closes, or until the time for which it may be silent.
std::string Ask(const net::Address& server, const std::string& request);

}  // namespace wigeonstair::hostile_clients

#endif  // WIGEONSTAIR_TESTS_HOSTILE_CLIENTS_CROWD_H_
