-- Jobs that can never run are refused, and the answer "not run" is true.
start{entries = 1, agents = 1}
local unknown = submit{entry = 1, service = "no-such-service"}
local large = submit{entry = 1, memory_mb = 16000000}
wait_for_answers()
expect(unknown.name == "UNKNOWN_SERVICE", "an unknown service is refused")
expect(large.name == "CANNOT_RUN", "a job too large for any worker is refused")
check_invariants()
