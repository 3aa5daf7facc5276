"""A simulated target and the proxy in front of it keep their ports while they
are down: nobody else is given them, and both come back."""
import socket
from cutproxy import CutProxy
from fleet import in_background, wait_for
from pathfleet import SimTarget, respond


def is_taken(port):
    with socket.socket() as other:
        try:
            other.bind(("127.0.0.1", port))
        except OSError:
            return True
    return False


def is_listening(port):
    try:
        socket.create_connection(("127.0.0.1", port), 2).close()
    except OSError:
        return False
    return True


target = SimTarget("t0", lambda t, request, conn: respond(conn, request))
proxy = CutProxy(lambda: {}, target.port)
ports = [target.port, proxy.port]
kept = socket.create_connection(("127.0.0.1", target.port))
wait_for(lambda: target.conns)
target.proxy = proxy
in_background(lambda: target.crash(3))
wait_for(lambda: not target.conns)
wait_for(lambda: not is_listening(proxy.port))
wait_for(lambda: not is_listening(target.port))
print("down, listening", [is_listening(p) for p in ports],
      "kept", [is_taken(p) for p in ports])
print("back", [bool(wait_for(lambda p=p: is_listening(p))) for p in ports])
