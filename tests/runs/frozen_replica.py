"""A control instance, then the leader, is stopped (SIGSTOP).  Requests are
still served, and the frozen leader changes nothing when it continues."""
import signal
import time
from fleet import Fleet, wait_for

with Fleet(instances=3, control=3) as fleet:
    leader = fleet.leader()
    others = [n for n in fleet.names if n != leader]
    fleet.kill(others[0], signal.SIGSTOP)
    print("follower frozen",
          fleet.chat(others[1], "id=a", tokens=3).status,
          fleet.chat(leader, "id=b", tokens=3).status)
    fleet.kill(others[0], signal.SIGCONT)
    fleet.wait_ready()
    fleet.kill(leader, signal.SIGSTOP)
    began = time.monotonic()
    response = fleet.retry(lambda: fleet.chat(others[0], "id=c", key="c",
                                              tokens=3))
    print("leader frozen", response.status)
    document = fleet.document()
    document["retention_s"] = 7200
    print("put", fleet.put_document(document, 1, "p2",
                                    others[0]).status)
    fleet.kill(leader, signal.SIGCONT)
    print("continued", fleet.retry(lambda: fleet.chat(leader, "id=d",
                                                  tokens=3)).status)
    print("versions", wait_for(lambda: {
        i["document_version"] for i in fleet.status()["instances"]} == {2}))
