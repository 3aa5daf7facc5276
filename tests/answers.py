"""Answers whose every byte names its request, targets that garble them, and
callers that read them byte by byte on connections that they keep.

A request carries a random token in its path, in x-token and in its body.  A
target's answer repeats path and token, with a sequence number and a checksum;
an event of a stream carries token and position.  Answers holds what targets
made, so that a caller can ask of each byte that it got: whose is it?
"""
import json
import random
import re
import socket
import struct
import threading
import time
import weakref
import zlib

ID = "x-mimosapath-request"
NOT_RUN = "x-mimosapath-not-run: 1\r\n"
STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) [^\r\n]*\Z")
BODILESS = (204, 304)
OWN_ERRORS = (400, 403, 404, 500, 504)
EVENT = "id: %d\ndata: %s %s %d %08x\n\n"
EVENT_LINES = re.compile(
    r"id: (\d+)\ndata: (\w+) ([\w-]+) (\d+) ([0-9a-f]{8})\n\n")
# What a target may do wrong; "pieces", "errors", "bodiless", "unframed" and
# "bare" are allowed.
GARBLES = ("twice", "twice-bare", "twice-torn", "bare", "refuse",
           "refuse-bare", "refuse-torn", "late", "torn", "pieces", "errors", "bodiless",
           "unframed", "foreign", "extra")
# A stream without a length or chunks that ends early with an orderly end:
# nothing tells it from a complete one, see KNOWN-RED.txt.
UNTOLD = ("unframed-early",)


def format_event(number, version, token):
    return EVENT % (number, version, token, number, zlib.crc32(
        ("%s %d" % (token, number)).encode()))


def read_events(text, token):
    """Returns number and version of the events in text, and what in it is no
    event of this token."""
    events, at = [], 0
    for match in EVENT_LINES.finditer(text):
        if text[at:match.start()] or match.group(0) != format_event(
                int(match.group(1)), match.group(2), token):
            return events, text[at:]
        events.append((int(match.group(1)), match.group(2)))
        at = match.end()
    return events, text[at:]


# A connection whose close is seen within this time after the last byte of a
# request was closed before the request arrived: the end of stream comes first
# then, and a reset alone means that the bytes had arrived.
CROSSED_S, RESET_CROSSED_S = 0.05, 0.003


class Response:
    def __init__(self):
        self.status, self.fields, self.body = 0, {}, b""
        self.is_whole = False
        self.has_head = False
        self.fault = None   # why the bytes are no answer


class CallerConn:
    """A connection of a caller, kept until the instance closes it."""

    def __init__(self, port, timeout_s=8, window=None):
        self.sock = socket.socket()
        if window:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.sock.settimeout(timeout_s)
        self.data, self.pause_s, self.is_open = b"", 0, True
        self.is_reset = self.has_timed_out = False
        self.idle_since = self.sent_at = time.monotonic()
        self.sock.connect(("127.0.0.1", port))

    def close(self):
        self.is_open = False
        self.sock.close()

    def send(self, data, pieces=1):
        size = len(data) // pieces + 1
        for at in range(0, len(data), size):
            time.sleep(0.15 if at else 0)
            self.sock.sendall(data[at:at + size])
        self.sent_at = time.monotonic()

    def fill(self):
        try:
            part = self.sock.recv(8192 if self.pause_s else 65536)
        except OSError as error:
            self.is_reset = True
            self.has_timed_out = isinstance(error, socket.timeout)
            part = b""
        if not part:
            raise EOFError
        self.data += part
        time.sleep(self.pause_s)

    def line(self):
        while b"\r\n" not in self.data:
            self.fill()
        line, _, self.data = self.data.partition(b"\r\n")
        return line

    def take(self, size, response):
        while size:
            if not self.data:
                self.fill()
            part, self.data = self.data[:size], self.data[size:]
            response.body += part
            size -= len(part)

    def stray_bytes(self):
        """Returns bytes that arrived while no answer was due; closes the
        connection if the instance has."""
        stray, self.data = self.data, b""
        try:
            self.sock.setblocking(False)
            part = self.sock.recv(65536)
            stray += part
            if not part:
                self.close()
        except BlockingIOError:
            pass
        except OSError:
            self.close()
        if self.is_open:
            self.sock.settimeout(8)
        return stray

    def read_head(self, response):
        line = self.line()
        match = STATUS_LINE.match(line)
        if not match:
            raise ValueError("%r is no status line" % line[:60])
        fields = {}
        while True:
            field = self.line()
            if not field:
                break
            name, colon, value = field.partition(b":")
            if not colon:
                raise ValueError("%r is no header" % field[:60])
            name = name.strip().lower().decode()
            if name in fields and name in ("content-length",
                                           "transfer-encoding"):
                raise ValueError("two headers " + name)
            fields[name] = value.strip().decode()
        response.status, response.fields = int(match.group(1)), fields

    def read_body(self, response, method):
        fields = response.fields
        if method == "HEAD" or response.status in BODILESS:
            return
        if "transfer-encoding" in fields:
            while True:
                line = self.line()
                if not re.fullmatch(rb"[0-9a-fA-F]+", line):
                    raise ValueError("%r is no chunk" % line[:60])
                self.take(int(line, 16), response)
                if self.line():
                    raise ValueError("a chunk has no end")
                if int(line, 16) == 0:
                    return
        if "content-length" in fields:
            self.take(int(fields["content-length"]), response)
            return
        try:
            while True:
                self.take(1 << 30, response)
        except EOFError:
            if self.is_reset:
                raise
            self.close()

    def end_of(self, response):
        """Names how the request ended that was sent whole."""
        if response.is_whole:
            is_own = number_of(response) is None and response.status >= 400
            return "refused" if is_own else "answered"
        if self.has_timed_out:
            return "left"
        if response.has_head or response.fault or self.data:
            return "cut"
        is_late = time.monotonic() - self.sent_at > (
            RESET_CROSSED_S if self.is_reset else CROSSED_S)
        return "unanswered" if is_late else "crossed"

    def read_response(self, method="POST"):
        response = self.read_any(method)
        self.idle_since = time.monotonic()
        return response

    def read_any(self, method):
        response = Response()
        try:
            while response.status < 200:
                self.read_head(response)
            response.has_head = True
            self.read_body(response, method)
            response.is_whole = True
            if response.fields.get("connection", "") == "close":
                self.close()
        except EOFError:
            if not response.has_head and not (
                    self.data.startswith(b"HTTP/1.1 ") or
                    b"HTTP/1.1 ".startswith(self.data)):
                response.fault = "%r is no answer" % self.data[:60]
            self.close()
        except ValueError as error:
            response.fault = str(error)
            self.close()
        return response


def format_request(token, prefix="/once/", method="POST", fields=None,
                   key="workspace-key", body=None, path=None):
    body = token if body is None else body
    return ("%s %s%s HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer %s"
            "\r\nx-token: %s\r\n%scontent-length: %d\r\n\r\n%s" % (
                method, prefix, path or token, key, token,
                "".join("%s: %s\r\n" % f for f in (fields or {}).items()),
                len(body), body)).encode()


class Caller:
    """A caller with one connection to each instance, kept after errors too.
    ports maps instances to ports; next_token(kind, name) returns a new token;
    check(kind, token, response, method) checks a response.  note_end(name,
    token, end, conn) is told how each request that was sent whole ended, and
    note_closed(name, conn) of connections that were closed while idle;
    may_use(conn) returns whether an idle connection may be used again."""

    def __init__(self, answers, rng, ports, next_token, check,
                 note_end=lambda *_: None, note_closed=lambda *_: None,
                 may_use=lambda _: True):
        self.answers, self.random, self.ports = answers, rng, ports
        self.next_token, self.check = next_token, check
        self.note_end, self.note_closed = note_end, note_closed
        self.may_use = may_use
        self.conns = {}
        self.earlier_ids = ["used-%d" % rng.getrandbits(20)]

    def connect(self, name, window=None):
        """Returns the connection; bytes that came while no answer was due are
        a violation."""
        conn = self.conns.get(name)
        if conn and conn.is_open and not self.may_use(conn):
            conn.close()
        if conn and conn.is_open:
            stray = conn.stray_bytes()
            if stray:
                self.answers.report_violation(
                    "%r came while no answer was due" % stray[:60])
            elif not conn.is_open:
                self.note_closed(name, conn)
        if not conn or not conn.is_open:
            conn = CallerConn(self.ports[name], window=window)
            self.conns[name] = conn
        return conn

    def send(self, name, token, prefix, window=None, pause_s=0, method="POST",
             pieces=1, **options):
        """Returns the response to a request that is sent alone."""
        try:
            conn = self.connect(name, window)
            conn.send(format_request(token, prefix, method, **options),
                      pieces)
            conn.pause_s = pause_s
            response = conn.read_response(method)
            conn.pause_s = 0
            self.note_end(name, token, conn.end_of(response), conn)
        except OSError:
            self.conns.pop(name, None)
            return Response()
        return response

    def choose_fields(self, token):
        """Returns headers: mostly with an id of its own."""
        rng, fields = self.random, {}
        draw = rng.random()
        if draw < 0.7:
            fields[ID] = token
            self.earlier_ids = (self.earlier_ids + [token])[-3:]
        elif draw < 0.85:
            fields[ID] = rng.choice(self.earlier_ids)
        if rng.random() < 0.1:
            fields["x-mimosapath-deadline-ms"] = str(rng.randint(200, 700))
        return fields

    def request(self, name, kind):
        """Sends a request whose path begins with kind, in one of the ways of
        callers."""
        way = self.random.random()
        if way < 0.08:
            self.pipeline(name, kind)
        elif way < 0.12:
            self.leave(name, kind)
        else:
            self.request_answer(name, kind)

    def request_answer(self, name, kind):
        rng = self.random
        token = self.next_token(kind, name)
        method = "HEAD" if rng.random() < 0.08 else "POST"
        response = self.send(
            name, token, "/%s/" % kind, method=method,
            fields=self.choose_fields(token),
            window=4096 if rng.random() < 0.2 else None,
            pause_s=0.02 if rng.random() < 0.05 else 0,
            body="" if method == "HEAD" else None)
        self.check(kind, token, response, method)

    def pipeline(self, name, kind):
        """Sends some requests at once; the answers come in their order."""
        tokens = [self.next_token(kind, name) for _ in range(
            self.random.randint(2, 4))]
        try:
            conn = self.connect(name)
            conn.send(b"".join(format_request(
                t, "/%s/" % kind, fields={ID: t}) for t in tokens))
            for token in tokens:
                if conn.is_open or conn.data:
                    response = conn.read_response()
                    self.note_end(name, token, conn.end_of(response), conn)
                    self.check(kind, token, response, "POST")
        except OSError:
            self.conns.pop(name, None)

    def leave(self, name, kind):
        """Sends a request and closes the connection, mostly unanswered."""
        token = self.next_token(kind, name)
        try:
            conn = CallerConn(self.ports[name])
            conn.send(format_request(token, "/%s/" % kind, fields={ID: token}))
            self.note_end(name, token, "left", conn)
            time.sleep(self.random.uniform(0, 0.05))
            conn.close()
        except OSError:
            pass


class Answers:
    """What targets made, ran and said, and whether callers got only that."""

    def __init__(self, report_violation):
        self.report_violation = report_violation
        self.lock = threading.Lock()
        self.number = 0
        self.made = {}       # number -> token, status, body
        self.run_counts = {}  # token -> runs at targets
        self.not_run = set()  # tokens whose caller was told "not run"

    def make(self, token, path, status, size, filler="."):
        """Returns number and body of a new answer."""
        with self.lock:
            self.number += 1
            number = self.number
        text = "path=%s token=%s n=%d " % (path, token, number)
        text += (token + filler) * (max(size - len(text), 0) //
                                    (len(token) + len(filler)))
        body = ("%s sum=%08x" % (text, zlib.crc32(text.encode()))).encode()
        self.made[number] = (token, status, body)
        return number, body

    def note_run(self, token, may_repeat):
        with self.lock:
            runs = self.run_counts.get(token, 0) + 1
            self.run_counts[token] = runs
            was_refused = token in self.not_run
        if runs > 1 and not may_repeat:
            self.report_violation("%s ran twice" % token)
        if was_refused:
            self.report_violation("%s ran after it was refused" % token)

    def note_not_run(self, token):
        with self.lock:
            self.not_run.add(token)
            has_run = self.run_counts.get(token)
        if has_run:
            self.report_violation("%s was refused and ran" % token)

    def check(self, token, response, method="POST"):
        """Checks an answer that is no stream of events."""
        if response.fault:
            self.report_violation("%s: %s" % (token, response.fault))
            return
        if not response.has_head:
            return
        number = number_of(response)
        if number is None:
            self.check_error(token, response, method)
            return
        owner, status, body = self.made[number]
        if owner != token:
            self.report_violation("%s got the answer of %s" % (token, owner))
        if status != response.status:
            self.report_violation("%s got %d instead of %d" % (
                token, response.status, status))
        if response.fields.get("x-mimosapath-run") == "no":
            self.report_violation("%s has an answer and was told that it has "
                                  "not run" % token)
        self.check_body(token, response, method, body)

    def check_events(self, token, response, first, count, versions):
        """Checks the events of a stream of count events that begins with the
        event first; returns them."""
        if response.fault:
            self.report_violation("%s: %s" % (token, response.fault))
        events, rest = read_events(response.body.decode(), token)
        if rest and (response.is_whole or not any(
                format_event(first + len(events), v, token).startswith(rest)
                for v in versions)):
            self.report_violation("%s: %r is no event of it" % (
                token, rest[:60]))
        if [n for n, _ in events] != list(range(first, first + len(events))):
            self.report_violation("%s got events %s from %d on" % (
                token, events, first))
        if len({version for _, version in events}) > 1:
            self.report_violation("%s got two versions" % token)
        if response.is_whole and first + len(events) != count:
            self.report_violation("%s looks whole with %d events from %d on" %
                                  (token, len(events), first))
        return events

    def check_body(self, token, response, method, body):
        length = response.fields.get("content-length")
        if length is not None and status_has_body(response.status) and int(
                length) != len(body):
            self.report_violation("%s: length %s for %d bytes" % (
                token, length, len(body)))
        if method == "HEAD" or not response.is_whole:
            body = body[:len(response.body)]
        if not status_has_body(response.status):
            body = b""
        if response.body != body:
            self.report_violation("%s: %d got %r instead of %r" % (
                token, response.status, response.body[:60], body[:60]))

    def check_error(self, token, response, method):
        """Checks an error of the instance itself."""
        run = response.fields.get("x-mimosapath-run")
        if run == "no":
            self.note_not_run(token)
        if response.status < 400 or run is None:
            self.report_violation("%s: %d %r is nobody's answer" % (
                token, response.status, response.body[:60]))
            return
        if method == "HEAD" or not response.is_whole:
            return
        try:
            said = json.loads(response.body)["error"]["run"]
        except (ValueError, KeyError, TypeError):
            said = "nothing"
        if said != run:
            self.report_violation("%s: %d %r is no error body" % (
                token, response.status, response.body[:60]))


def number_of(response):
    """Returns the number of the target's answer, or None: from its header,
    which the API of our own does not forward, or its body."""
    number = response.fields.get("x-answer")
    match = re.match(rb"path=\S+ token=\S+ n=(\d+) ", response.body)
    return int(number or (match and match.group(1)) or 0) or None


def token_of(req):
    """Returns the token of a request; the API of our own forwards it in the
    path only."""
    return req["headers"].get("x-token") or req["path"].split("/")[-1] or "-"


def status_has_body(status):
    return status >= 200 and status not in BODILESS


# -- targets --

class GarbledWriter:
    """Writes the answers of a target that garbles them."""

    def __init__(self, answers, seed):
        self.answers = answers
        self.random = random.Random(seed)
        self.locks = weakref.WeakKeyDictionary()   # connection -> lock

    def lock_of(self, conn):
        return self.locks.setdefault(conn, threading.Lock())

    def head(self, req, status, fields, has_id=True):
        name = req["headers"].get(ID)
        return "HTTP/1.1 %d A reason phrase\r\n%s%s\r\n" % (
            status, "%s: %s\r\n" % (ID, name) if name and has_id else "",
            fields)

    def write(self, conn, data, pieces=1):
        """Writes data, never into the middle of another answer."""
        with self.lock_of(conn):
            self.write_pieces(conn, data, pieces)

    def write_pieces(self, conn, data, pieces):
        cuts = sorted(self.random.randrange(len(data) + 1)
                      for _ in range(pieces - 1))
        for start, end in zip([0] + cuts, cuts + [len(data)]):
            if end > start:
                conn.sendall(data[start:end])
            if pieces > 1:
                time.sleep(self.random.uniform(0, 0.01))

    def write_later(self, conn, data, delay_s):
        def write():
            try:
                self.write(conn, data)
            except OSError:
                pass   # the connection is closed
        timer = threading.Timer(delay_s, write)
        timer.daemon = True
        timer.start()

    def cut(self, conn):
        """Ends the connection by a reset, or else as if complete."""
        return self.reset(conn) if self.random.random() < 0.5 else False

    def reset(self, conn):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
        return False

    def tear(self, data):
        """Returns a first part of data, often less than its head."""
        most = self.random.choice([30, 250, len(data)])
        return data[:self.random.randrange(1, min(most, len(data)))]

    def body_size(self):
        return self.random.choice([0, 100, 100, 300, 3000, 120000])

    def format(self, req, status=200, extra="", has_id=True, framing="length",
               size=None):
        """Returns the bytes of a new answer for the caller."""
        number, body = self.answers.make(
            token_of(req), req["path"], status,
            self.body_size() if size is None else size)
        fields = "x-answer: %d\r\n%s" % (number, extra)
        if framing == "length" and status != 204:
            fields += "Content-Length: %d\r\n" % len(body)
        if framing == "chunked":
            fields += "Transfer-Encoding: chunked\r\n"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        if framing == "none":
            fields += "Connection: close\r\n" * self.random.randrange(2)
        if req["method"] == "HEAD" or not status_has_body(status):
            body = b""
        return self.head(req, status, fields, has_id).encode() + body

    def refuse(self, conn, req, how, extra=""):
        """Refuses, and writes that once more, perhaps without its id or torn,
        while the next request of the connection runs."""
        body = "refused by the target"
        fields = extra + NOT_RUN + "Content-Length: %d\r\n" % len(body)
        if req["method"] == "HEAD":
            body = ""
        self.write(conn, (self.head(req, 503, fields) + body).encode())
        copy = (self.head(req, 503, fields, how != "refuse-bare") +
                body).encode()
        if how == "refuse-torn":
            copy = self.tear(copy)
        self.write_later(conn, copy, self.random.uniform(0.01, 0.2))

    def respond(self, conn, req, how, extra=""):
        """Answers a request that is no stream; returns False to close."""
        rng = self.random
        if how.startswith(("refuse", "twice", "bare")):
            time.sleep(rng.choice([0, 0.02, 0.2]))
        if how in ("errors", "foreign"):
            data = self.format(req, rng.choice(OWN_ERRORS), extra)
            return self.write(conn, data, rng.randint(1, 4))
        if how == "bodiless":
            return self.write(conn, self.format(
                req, rng.choice(BODILESS), extra, framing="length"))
        if how == "pieces":
            data = b"HTTP/1.1 103 X\r\nx-a: b\r\n\r\n" * rng.randrange(3)
            data += self.format(req, 200, extra,
                                framing=rng.choice(["length", "chunked"]))
            return self.write(conn, data, rng.randint(2, 9))
        if how == "unframed":
            self.write(conn, self.format(req, 200, extra, framing="none"),
                       rng.randint(1, 3))
            return False
        if how == "torn":
            data = self.format(req, 200, extra)
            self.write(conn, data[:rng.randrange(len(data))])
            return self.cut(conn)
        status = rng.choice(OWN_ERRORS) if how == "twice-torn" else 200
        data = self.format(req, status, extra, has_id=how != "bare")
        self.write(conn, data)
        if how == "extra":
            self.write(conn, rng.choice([
                b"x", b"\r\n", b"0\r\n\r\n", b"more of it " * 30,
                b"HTTP/1.1 200 X\r\nContent-Length: 900\r\n\r\nnobody's"]))
        if how in ("twice", "twice-bare", "twice-torn", "bare"):
            head, _, body = data.partition(b"\r\n\r\n")
            if how in ("twice-bare", "bare"):
                head = b"\r\n".join(
                    line for line in head.split(b"\r\n")
                    if not line.startswith(ID.encode()))
            copy = head + b"\r\n\r\n" + body
            if how == "twice-torn":
                copy = self.tear(copy)
            self.write_later(conn, copy, rng.choice([0, 0.02, 0.05, 0.2]))
        return None

    def respond_events(self, conn, req, how, events, version, extra=""):
        """Answers with a stream of events; returns False to close."""
        rng = self.random
        token = token_of(req)
        first = int(req["headers"].get("last-event-id", "-1")) + 1
        if how in ("errors", "bodiless") or (how == "foreign" and first):
            if how == "foreign":
                return self.respond_foreign(conn, req, extra)
            return self.respond(conn, req, how, extra)
        is_framed = not how.startswith("unframed")
        fields = extra + "Content-Type: text/event-stream\r\n"
        fields += "Transfer-Encoding: chunked\r\n" if is_framed else ""
        last = events
        if how in ("torn", "foreign") or not is_framed:
            last = rng.randint(first, events)
        with self.lock_of(conn):
            head = self.head(req, 200, fields, how != "bare")
            self.write_pieces(conn, head.encode(),
                              5 if how == "pieces" else 1)
            for number in range(first, last):
                self.write_event(conn, format_event(number, version, token),
                                 is_framed, 3 if how == "pieces" else 1)
                time.sleep(0.01)
            if how == "torn":
                self.write_event(conn, "id: %d\ndata: to" % last, True, 1)
            if how in ("torn", "foreign"):
                return self.cut(conn)
            if how == "unframed" and last < events:
                return self.reset(conn)
            if not is_framed:
                return False
            conn.sendall(b"0\r\n\r\n")
        if how in ("twice", "twice-bare", "bare"):
            text = "".join(format_event(n, version, token)
                           for n in range(first, events))
            copy = "%s%x\r\n%s\r\n0\r\n\r\n" % (
                self.head(req, 200, fields, how == "twice"), len(text), text)
            self.write_later(conn, copy.encode(), rng.choice([0, 0.02, 0.1]))
        return None

    def write_event(self, conn, text, is_framed, pieces):
        if is_framed:
            text = "%x\r\n%s\r\n" % (len(text), text)
        self.write_pieces(conn, text.encode(), pieces)

    def respond_foreign(self, conn, req, extra):
        """Answers with status 200 and no stream where one is taken up."""
        framing = self.random.choice(["length", "chunked", "none"])
        kind = self.random.choice(["text/plain", "application/json"])
        self.write(conn, self.format(
            req, 200, extra + "Content-Type: %s\r\n" % kind, framing=framing))
        return False if framing == "none" else None
