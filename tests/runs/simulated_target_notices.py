"""The simulated targets of the own API say that they leave, and ask for a
pause with a refusal; instances hear both."""
from fleet import Fleet, request, wait_for

HEADERS = {"content-type": "text/plain"}


def said(answer):
    return (answer.status, answer.headers.get("retry-after"),
            answer.headers.get("x-mimosapath-leaving"))


def logged(event, target):
    return wait_for(lambda: any(
        " %s " % event in line and "target=%s " % target in line
        for line in open(fleet.path("i0.log"))))


with Fleet(instances=1, control=1, engines=2, services=1) as fleet:
    fleet.topup("w", 100000)
    target = fleet.targets["engine-0"]
    print(said(request(target, "POST", "/x", "#refuse #pause=1.5", HEADERS)))
    print(said(request(target, "POST", "/x", "#refuse", HEADERS)))
    print(said(request(target, "POST", "/x", "works", HEADERS)))
    fleet.chat("i0", "id=a #refuse #pause=5", tokens=2)
    print("paused", logged("target-paused", "engine-0"),
          logged("target-paused", "engine-1"))
    again = fleet.chat("i0", "id=b", tokens=2)
    print(again.status, again.headers.get("x-mimosapath-run"),
          4 <= int(again.headers.get("retry-after", 0)) <= 7)
    request(target, "POST", "/leave")
    print(said(request(target, "POST", "/x", "works", HEADERS)))
