// The HTTP library's callbacks of a server, apart from its header so that the
// library's types stay out of that.

#ifndef HTTP_SERVER_CALLBACKS_H_
#define HTTP_SERVER_CALLBACKS_H_

#include <cstddef>
#include <string>

#include <microhttpd.h>

#include "http/connection_table.h"
#include "http/server.h"

namespace quartzhoist::http {

// A connection as the server sees it; the library keeps it from the beginning
// to the end.
struct Server::Connection {
  ConnectionTable::Handle entry;
  ExchangePtr exchange;     // null between requests
  bool is_closing = false;  // no longer in the table

  static Connection& Of(MHD_Connection* connection) {
    return *static_cast<Connection*>(
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context);
  }
};

struct Server::Callbacks {
  // State that the library keeps for one request.
  struct Slot {
    std::string path;
    ExchangePtr exchange;
  };

  static void OnConnection(void* cls,
                           MHD_Connection* connection,
                           void** context,
                           MHD_ConnectionNotificationCode code);
  static void* BeginUri(void* cls, const char* uri, MHD_Connection* connection);
  static MHD_Result Access(void* cls,
                           MHD_Connection* connection,
                           const char*,
                           const char* method,
                           const char*,
                           const char* upload,
                           std::size_t* upload_size,
                           void** state);
  static void Completed(void* cls,
                        MHD_Connection* connection,
                        void** state,
                        MHD_RequestTerminationCode code);

  // --- Steps of a request ---
  // Its head has been read: creates its exchange, or refuses it.
  static void Begin(Server& server,
                    Slot& slot,
                    MHD_Connection* raw,
                    const char* method);
  static void TakeBody(Server& server,
                       Connection& connection,
                       const char* data,
                       std::size_t size);
  // It is whole, or cannot be taken.
  static void HandOver(Server& server, Connection& connection);
  static void RefuseForRoom(Server& server, Connection& connection);
  // From here on its connection is not closed for a limit.
  static void BeginService(Server& server, Connection& connection);
  // Passes its answer to the library.
  static MHD_Result Send(Server& server,
                         Connection& connection,
                         MHD_Connection* raw);
  // Its connection has no more to do with it.
  static void Detach(Server& server,
                     Exchange& exchange,
                     Connection& connection);
};

}  // namespace quartzhoist::http

#endif  // HTTP_SERVER_CALLBACKS_H_
