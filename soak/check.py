"""Checks the promises against what callers and engines saw."""

import re
from collections import Counter

PROMISES = {408, 421, 429, 503}
SEAL = "dogwoodvale-response-seal"
RECOVERED_SHARE = 0.5
RECOVERY_S = 2


def runs_of(site):
    """How often each request id was run, from the engines' own logs."""
    runs = Counter()
    for log in site.folder.glob("e*.log"):
        if log.name != "events.log":
            text = log.read_text(errors="replace")
            runs.update(re.findall(r"event=run id=(\w+)", text))
    return runs


def check_stream(answer):
    versions = {version for _, version in answer.events()}
    if len(versions) > 1:
        return f"holds events of the software versions {sorted(versions)}"
    ids = [i for i, _ in answer.events()]
    if ids != list(range(1, len(ids) + 1)):
        return f"pieces out of order: {ids}"
    if answer.whole and len(ids) != answer.length:
        return f"ends as complete after {len(ids)} of {answer.length} pieces"
    return None


def check_answer(answer, runs):
    problems = []
    repeats = answer.route in ("/again/", "/stream/")
    if answer.status == 200 and SEAL not in answer.headers:
        problems.append("a success without its proof")
    if answer.status == 200 and answer.headers.get("dogwoodvale-attempt-id") != answer.id:
        problems.append("another request's answer")
    if answer.status == 200 and "stream" in answer.route:
        problems.append(check_stream(answer))
    if not repeats and runs[answer.id] > 1:
        problems.append(f"ran {runs[answer.id]} times")
    if not repeats and answer.status in PROMISES and runs[answer.id] > 0:
        problems.append(f"was said not to have run ({answer.status}) and ran")
    if answer.status in (400, 401, 403, 404, 413, 431):
        problems.append(f"{answer.status} for what every configuration allows")
    return [f"{answer.id} {answer.route} at {answer.gateway}: {p}" for p in problems if p]


def check(site, callers):
    """All findings of one play, one a line."""
    runs = runs_of(site)
    findings = list(site.findings)
    for answer in callers.answers:
        findings += check_answer(answer, runs)
    known = {a.id for a in callers.answers}
    if callers.healed_at is not None:
        late = [a for a in callers.answers if a.sent > callers.healed_at + RECOVERY_S]
        served = sum(1 for a in late if a.status == 200 and a.whole)
        if not late or served < RECOVERED_SHARE * len(late):
            findings.append(f"not recovered: {served} of {len(late)} served after the faults")
    if not known:
        findings.append("no request was sent")
    return findings
