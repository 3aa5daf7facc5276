"""The console: a form shows the change for review, a confirmed change takes
effect, a version conflict keeps the text, a repeated top-up is applied once,
and a form without a valid code is refused."""
import urllib.parse
from fleet import Fleet, wait_for
from forms import fields

with Fleet(instances=3, control=3) as fleet:
    def get(path):
        return fleet.operator_request("GET", path, name="i0")

    def post(path, values):
        return fleet.operator_request(
            "POST", path, urllib.parse.urlencode(values),
            {"content-type": "application/x-www-form-urlencoded"}, "i0")
    page = get("/")
    print("status", page.status, "i2" in page.body, "engine-0" in page.body)
    form = fields(get("/edit/services/s").body)
    form["f.price_mtok"] = "25000"
    form["f.routes.0.method"] = "POST"
    form["f.routes.0.path"] = "/lots"
    form["f.routes.0.at_most_once"] = "true"
    form["do"] = "save"
    review = post("/edit/services", form)
    print("review", review.status, "25000" in review.body,
          "class=\"add\"" in review.body)
    submit = fields(review.body)
    done = post("/submit", submit)
    print("submit", done.status, "Version 2" in done.body)
    again = post("/submit", submit)
    print("sent twice", again.status, "Version 2" in again.body)
    print("in force", bool(wait_for(lambda: "Version 2" in get(
        "/list/services").body)))
    late = dict(submit, id="other", text=submit["text"].replace(
        "25000", "30000"))
    lost = post("/submit", late)
    print("lost race", lost.status, "Somebody else" in lost.body,
          "30000" in lost.body)
    form = fields(get("/edit/targets/engine-0").body)
    form["f.capacity"] = "many"
    form["do"] = "save"
    bad = post("/edit/targets", form)
    print("faulty", bad.status, "must be a whole number" in bad.body)
    topup = fields(get("/list/workspaces").body)
    topup["tokens"] = "77"
    print("top-up", post("/topup", topup).status,
          post("/topup", topup).status, fleet.account()["budget_mtok"])
    topup["tokens"] = "-5"
    print("bad top-up", post("/topup", topup).status)
    print("foreign form", post("/topup", dict(topup, code="x",
                                              tokens="9")).status)
    print("no such page", get("/list/nothing").status, get("/x").status)
