"""The introspection front against a stand-in server: one final answer each, no sale on a revoked token."""

from __future__ import annotations

import contextlib
import io
import unittest

from scenario import scenario

from gorsefork.wire.tokens import Tenant, TenantsUnavailable

BUY = "POST /buy token=t1 Idempotency-Key=k1"
JSON = "200 Content-Type=application/json |"
GOOD = f'oauth send {JSON} {{"active":true,"scope":"a tour.buy","client_id":"museum"}}'
REVOKED = f'oauth send {JSON} {{"active":false}}'


class Tokens(unittest.TestCase):
    def test_a_purchase_on_a_good_token(self) -> None:
        scenario(f"""
            c1 send {BUY}
            oauth expect POST /introspect token=t1 Authorization=Basic
            {GOOD}
            box expect POST /buy Idempotency-Key=k1
            box send 200 | sold
            c1 expect 200 | sold
            c1 send {BUY}
            oauth expect POST /introspect token=t1
            {REVOKED}
            c1 expect 401 WWW-Authenticate
            box wait idle""")

    def test_no_token_a_malformed_one_and_one_in_the_query(self) -> None:
        scenario("""
            c1 send GET /look front=2
            c1 expect 401 WWW-Authenticate
            c1 send GET /look front=2 Authorization=Basic
            c1 expect 400 WWW-Authenticate
            c1 send GET /look?access_token=t1 token=t1
            c1 expect 400
            oauth wait idle
            box wait idle""")

    def test_lacking_scope_and_an_unknown_tenant(self) -> None:
        scenario(f"""
            c1 send {BUY}
            oauth expect POST /introspect
            oauth send {JSON} {{"active":true,"scope":"other","client_id":"museum"}}
            c1 expect 403 WWW-Authenticate
            c1 send GET /look token=t1
            oauth expect POST /introspect
            oauth send {JSON} {{"active":true,"client_id":"nobody"}}
            c1 expect 403
            box wait idle""")

    def test_a_directory_of_tenants_that_is_down(self) -> None:
        class Down:
            async def lookup(self, name: str, within: float) -> Tenant | None:
                raise TenantsUnavailable

        scenario(
            f"""
            c1 send {BUY}
            oauth expect POST /introspect
            {GOOD}
            c1 expect 503 Retry-After
            box wait idle""",
            tenants=Down(),
        )

    def test_every_doubt_fails_closed(self) -> None:
        museum = '"client_id":"museum"'
        doubts = (
            f"{JSON} not json",
            f'200 Content-Type=text/plain | {{"active":true,{museum}}}',
            f'{JSON} {{"active":"true",{museum}}}',
            "500",
            "302 Location=/ok",
            "401",
            f'{JSON} {{"active":false,"active":true,{museum}}}',
            f'{JSON} {{"active":true,{museum},"exp":"never"}}',
            "raw NOISE\\n\\n",
        )
        for doubt in doubts:
            with self.subTest(doubt):
                scenario(f"""
                    c1 send GET /look token=t1
                    oauth expect POST /introspect
                    oauth send {doubt}
                    c1 expect 503 Retry-After
                    box wait idle""")

    def test_an_expired_token(self) -> None:
        scenario(f"""
            c1 send GET /look token=t1
            oauth expect POST /introspect
            oauth send {JSON} {{"active":true,"client_id":"museum","exp":1000}}
            c1 expect 401 WWW-Authenticate""")


class Secrets(unittest.TestCase):
    def test_neither_token_nor_secret_is_logged(self) -> None:
        with contextlib.redirect_stderr(io.StringIO()) as log:
            scenario("""
                c1 send GET /look token=very.secret
                oauth expect POST /introspect token=very.secret
                oauth send 200 Content-Type=application/json | very.secret
                c1 expect 503
                c1 send GET /look token=very.secret
                oauth expect POST /introspect
                oauth send 401
                c1 expect 503""")
        self.assertIn("introspection: ", log.getvalue())
        self.assertNotIn("secret", log.getvalue())


class Trouble(unittest.TestCase):
    def test_a_stalled_server_costs_its_time_out_and_no_more(self) -> None:
        scenario(f"""
            c1 send {BUY}
            oauth expect POST /introspect
            c1 expect 503 Retry-After
            oauth wait
            c2 send {BUY} X-Expires-In-Ms=50
            oauth expect POST /introspect
            c2 expect 503 Retry-After
            oauth wait
            box wait idle""")

    def test_a_server_that_resets(self) -> None:
        scenario(f"""
            c1 send {BUY}
            oauth expect POST /introspect
            oauth close
            c1 expect 503 Retry-After
            box wait idle""")

    def test_a_kept_connection_that_ended_is_not_a_failing_server(self) -> None:
        scenario(f"""
            c1 send {BUY}
            oauth expect POST /introspect
            {GOOD}
            box expect POST /buy
            box send 200 | sold
            c1 expect 200
            oauth close
            c1 send {BUY}
            oauth expect POST /introspect
            {REVOKED}
            c1 expect 401""")

    def test_a_client_that_leaves_ends_its_check(self) -> None:
        scenario(f"""
            c1 send {BUY}
            oauth expect POST /introspect
            c1 close
            oauth wait
            box wait idle""")

    def test_the_checks_in_flight_are_bounded(self) -> None:
        scenario(
            "\n".join(
                [f"c{n} send GET /look token=t1\noauth expect POST /introspect" for n in range(8)]
                + ["c9 send GET /look token=t1", "c9 expect 503 Retry-After", "oauth wait idle"]
            )
        )


class Drained(unittest.TestCase):
    def test_a_box_that_drains_while_a_check_is_out_gets_nothing_new(self) -> None:
        leaving = '{"host":"s-1","dial":"$box","health":"leaving"}'
        scenario(f"""
            c1 send {BUY} X-Expires-In-Ms=400
            oauth expect POST /introspect
            {GOOD}
            box expect POST /buy
            box send 503 X-Never-Ran=1
            oauth expect POST /introspect
            disco expect GET /v1/servers?index=1
            disco send 200 | {{"seq":2,"whole":false,"hosts":[{leaving}]}}
            disco expect GET /v1/servers?index=2
            {GOOD}
            c1 expect 503
            box wait idle""")


class Revoked(unittest.TestCase):
    def test_between_an_attempt_and_the_next(self) -> None:
        scenario(f"""
            c1 send {BUY}
            oauth expect POST /introspect
            {GOOD}
            box expect POST /buy
            box send 503 X-Never-Ran=1
            oauth expect POST /introspect token=t1
            {REVOKED}
            c1 expect 401 WWW-Authenticate
            box wait idle""")

    def test_between_a_try_and_its_retry_through_another_ingress(self) -> None:
        scenario(
            f"""
            c1 send {BUY}
            oauth expect POST /introspect
            {GOOD}
            box expect POST /buy
            box send 503 X-Never-Ran=1
            oauth expect POST /introspect
            c1 expect 503 Retry-After
            c2 send {BUY} at=1
            oauth expect POST /introspect token=t1
            {REVOKED}
            c2 expect 401 WWW-Authenticate
            box wait idle""",
            ingresses=2,
        )

    def test_a_server_that_fails_once_it_might_have_run(self) -> None:
        """503 would say that trying again is harmless."""
        scenario(f"""
            c1 send {BUY}
            oauth expect POST /introspect
            {GOOD}
            box expect POST /buy
            box close
            oauth expect POST /introspect
            oauth send 500
            c1 expect 502
            box wait idle""")


if __name__ == "__main__":
    unittest.main()
