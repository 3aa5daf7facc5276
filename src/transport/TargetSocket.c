#include "transport/TargetSocket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

void
MpTargetSocket_SetNoDelay(h2o_socket_t *socket)
{
    int yes = 1;
    setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_NODELAY, &yes,
               sizeof(yes));
}

void
MpTargetSocket_SetUnacked(h2o_socket_t *socket, int unacked_ms)
{
    setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &unacked_ms, sizeof(unacked_ms));
}

void
MpTargetSocket_SetReceive(h2o_socket_t *socket, int receive_bytes)
{
    setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_RCVBUF,
               &receive_bytes, sizeof(receive_bytes));
}
