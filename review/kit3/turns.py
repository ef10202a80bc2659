"""Turns of agent programs, as the clients of a deployment send them."""

import random

from fleet import LIMITS

ZONES = ["kolkata-a", "howrah-b", "salt-lake-c"]
HOST = "ficu95.example"
SERVICE = "mati-models"
KEYS = {"bakers": "3fexd9dnn2ctnfzs989a", "visitors": "nu6wsjnbanfqasnmgkcu"}
RETENTION_S = 60.0


def policy(version=7):
    """One route that keeps turns, with the values of the small deployment."""
    return {
        "version": version,
        "routes": [
            {
                "name": "feed-advice",
                "hostname": HOST,
                "path_prefix": "/advice/",
                "route_kind": "streaming",
                "timeout_ms": 3000,
                "target_latency_ms": 250,
                "priority": 1,
                "service": SERVICE,
                "max_attempts": 1,
                "retains_context": True,
                "retention_s": RETENTION_S,
                "public": False,
                "session_affinity": True,
                "resumable": False,
                "gap_aim_ms": 400,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "connection_limit": 150,
                "protocol": "h1",
                "transport_security": False,
                "inference_engine": {
                    "concurrency_slots": 12,
                    "kv_cache_tokens": 456679,
                    "token_bytes": 18432,
                    "tokens_per_event": 23,
                    "model_catalog": [{"name": "m"}],
                },
            }
        ],
        "limits": LIMITS,
        "tenants": [
            {"name": name, "api_keys": [key], "priority": 1} for name, key in KEYS.items()
        ],
    }


def hex_id(bits=64):
    return f"{random.getrandbits(bits):0{bits // 4}x}"


def turn_headers(
    tenant, attempt, program, previous=None, budget=4600, seconds=3.0, most_tokens=575
):
    headers = [
        ("Host", HOST),
        ("X-Attempt-Id", attempt),
        ("X-Program-Id", program),
        ("X-Session-Id", hex_id(24)),
        ("X-Program-Deadline", "5200"),
        ("X-Token-Budget", str(budget)),
        ("X-Token-Usage", f"1840,{most_tokens}"),
        ("X-Prompt-Prefix", f"{hex_id(32)}:1840"),
        ("X-Model", "m"),
        ("X-Deadline-Remaining", str(int(seconds * 1000))),
        ("Api-Key", KEYS[tenant]),
    ]
    if previous:
        headers.append(("X-Previous-Turn", previous))
    return headers


async def send_turn(
    connection,
    tenant,
    program,
    previous=None,
    body=b"question",
    budget=4600,
    seconds=3.0,
    most_tokens=575,
):
    """Returns the attempt's id and the answer; no answer is None."""
    attempt = hex_id()
    headers = turn_headers(tenant, attempt, program, previous, budget, seconds, most_tokens)
    answer = await connection.send("POST", "/advice/2f", headers, body, seconds + 2)
    return attempt, answer


def is_whole(answer):
    """A success with the worker's signature and its whole body."""
    return (
        answer is not None
        and answer.status == 200
        and answer.is_complete
        and answer.header("X-Response-Signature") is not None
    )


def text(answer):
    if answer is None:
        return "no answer"
    return f"{answer.status}{'' if answer.is_complete else ', cut'}"


def runs_of(workers, attempt):
    return sum(attempt == run[0] for worker in workers for run in worker.runs)
