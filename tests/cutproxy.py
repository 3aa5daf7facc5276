"""A TCP proxy in front of a simulated target that cuts off some instances: it
knows the process at the other end of each connection."""

import os
import socket
import struct
import threading
import time

from fleet import free_port, in_background

LINGER_RESET = struct.pack("ii", 1, 0)


def sockets_of(pid):
    """Returns the inodes of the sockets of a process."""
    inodes = set()
    try:
        for descriptor in os.listdir("/proc/%d/fd" % pid):
            try:
                link = os.readlink("/proc/%d/fd/%s" % (pid, descriptor))
            except OSError:
                continue
            if link.startswith("socket:["):
                inodes.add(link[8:-1])
    except OSError:
        pass
    return inodes


def inode_of(local_port, remote_port):
    """Returns the inode of the socket of a connection on loopback, as the
    kernel's socket diagnosis tells it (sock_diag(7))."""
    loopback = socket.inet_aton("127.0.0.1") + bytes(12)
    wanted = struct.pack("!HH", local_port, remote_port) + 2 * loopback
    message = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0,
                          0xffffffff) + wanted + struct.pack(
                              "=III", 0, 0xffffffff, 0xffffffff)
    header = struct.pack("=IHHII", 16 + len(message), 20, 1, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, 4) as diagnosis:
        diagnosis.settimeout(1)
        diagnosis.send(header + message)
        answer = diagnosis.recv(4096)
    if struct.unpack_from("=H", answer, 4)[0] != 20:
        return None
    return str(struct.unpack_from("=I", answer, 16 + 4 + 48 + 16)[0])


def reset(conn):
    """Resets a connection, also while another thread reads from it."""
    try:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        conn.shutdown(socket.SHUT_RD)
    except OSError:
        pass  # the peer has closed it
    conn.close()


class CutProxy:
    """Forwards connections to a target.  cuts maps the names of instances to
    how they are cut off:

    silent   connections are accepted, and nothing passes on any
    reset    live connections are reset, and so are new ones
    refuse   live connections go on, new ones are reset
    one-way  requests pass, and no answer does
    """

    scan_lock = threading.Lock()
    owners = {}  # of the sockets seen by the last scan: inode -> instance

    def __init__(self, fleet_processes, target_port):
        self.processes, self.target_port = fleet_processes, target_port
        self.cuts = {}
        self.live = []  # (instance, client, server)
        self.requests = []  # (time, instance) of what was forwarded
        # Nobody else gets the port while the target is down.
        self.port = free_port()
        self.listen()

    def listen(self):
        self.listener = socket.create_server(("127.0.0.1", self.port),
                                             backlog=256)
        in_background(lambda: self.accept(self.listener))

    def stop(self):
        """Refuses new connections, as a target that is down does."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def instance_at(self, port):
        inode = inode_of(port, self.port)
        with CutProxy.scan_lock:
            if inode not in CutProxy.owners:
                CutProxy.owners = {
                    i: name for name, process in self.processes().items()
                    for i in sockets_of(process.pid)}
            return CutProxy.owners.get(inode, "?")

    def accept(self, listener):
        while True:
            try:
                client, address = listener.accept()
            except OSError:
                return
            in_background(lambda c=client, a=address: self.start(c, a))

    def start(self, client, address):
        name = self.instance_at(address[1])
        if self.cuts.get(name) in ("reset", "refuse"):
            reset(client)
            return
        try:
            server = socket.create_connection(
                ("127.0.0.1", self.target_port), 5)
        except OSError:
            reset(client)
            return
        self.live.append((name, client, server))
        in_background(lambda: self.forward(name, client, server, True))
        self.forward(name, server, client, False)

    def forward(self, name, source, sink, is_request):
        try:
            while True:
                data = source.recv(65536)
                cut = self.cuts.get(name)
                if cut == "silent" or (cut == "one-way" and not is_request):
                    if not data:
                        time.sleep(0.01)
                        return
                    continue
                if not data:
                    break
                if is_request:
                    self.requests.append((time.monotonic(), name))
                sink.sendall(data)
        except OSError:
            reset(sink)
            return
        try:
            sink.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def cut(self, names, how):
        """Cuts off the instances, or ends all cuts if how is None."""
        self.cuts = {name: how for name in names} if how else {}
        if how == "reset":
            live, self.live = self.live, []
            for name, client, server in live:
                if name in names:
                    reset(client)
                    reset(server)

    def senders_since(self, moment):
        """Returns the instances whose requests were forwarded since then."""
        return {name for at, name in self.requests if at >= moment}

    def entry(self, target):
        return dict(target.entry(), address="127.0.0.1:%d" % self.port)
