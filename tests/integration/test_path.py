"""The path from answers through acceptance and distribution to calls, with real processes."""
from harness import Fleet
from mesh import accept, executions, start_mesh, submit, wait_version, answers_with_timeout


def test_answers_reach_every_daemon_and_calls_reach_backend_servers():
    with Fleet() as fleet:
        _, daemons, backends = start_mesh(fleet)
        answer = daemons[1].call("GET", "/bacheca/orari/oggi", headers={"endive-test-id": "one"})
        assert answer.status == 200
        assert executions(backends, "one") == 1
        refused = daemons[2].call("GET", "/unknown")
        assert refused.status == 404
        assert refused.headers["endive-outcome"] == "not-run"


def test_a_stale_precondition_is_a_conflict_and_a_repeat_is_not():
    """Guards against two conflicting submissions that are both reported as accepted."""
    with Fleet() as fleet:
        _, daemons, _ = start_mesh(fleet)
        second = accept(daemons[1], answers_with_timeout(900), 1, "change-a")
        wait_version(daemons, second)
        lost = submit(daemons[2], answers_with_timeout(901), 1, "change-b")
        assert lost.status == 412
        assert lost.json()["name"] == "submit_conflict"
        assert lost.json()["current_version"] == second
        repeat = submit(daemons[0], answers_with_timeout(900), 1, "change-a")
        assert repeat.status in (200, 201)
        assert repeat.json()["version"] == second


def test_the_token_of_one_team_does_not_change_another():
    with Fleet() as fleet:
        _, daemons, _ = start_mesh(fleet)
        assert submit(daemons[0], token="wrong", version=1, key="x").status == 401
        assert submit(daemons[0], team="granite-hearth", key="y").status == 403
