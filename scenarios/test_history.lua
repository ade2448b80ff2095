-- Tests the checker of histories: each bad history must violate the invariant that it is made for.

local history = require "history"

local function write(client, key, outcome, started, ended)
	return { client = client, kind = "write", key = key, outcome = outcome,
		 started = started, ended = ended }
end

local function read(client, seen, started, ended)
	return { client = client, kind = "read", seen = seen, outcome = "ok",
		 started = started, ended = ended }
end

local function find_violated_invariants(calls, final_keys)
	local h = history.new()
	for _, call in ipairs(calls) do h:add(call) end
	h:set_final_keys(final_keys)
	local names = {}
	for _, finding in ipairs(h:check()) do names[finding[1]] = true end
	return names
end

local cases = {
	{ "a session reads its own acknowledged writes",
	  { write("a", "k1", "ok", 1, 2), read("a", {}, 3, 4) }, { "k1" } },
	{ "no acknowledged write is lost", { write("a", "k1", "ok", 1, 2) }, {} },
	{ "a write that was refused as not run did not run",
	  { write("a", "k1", "not run", 1, 2) }, { "k1" } },
	{ "a write runs at most once", { write("a", "k1", "ok", 1, 2) }, { "k1", "k1" } },
	{ "the database holds only keys that a client wrote", {}, { "k9" } },
	{ "a read returns only keys that a client wrote", { read("a", { "k9" }, 1, 2) }, {} },
	{ "a read returns no key that is lost later",
	  { write("a", "k1", "unknown", 1, 2), read("b", { "k1" }, 3, 4) }, {} },
}

for _, case in ipairs(cases) do
	assert(find_violated_invariants(case[2], case[3])[case[1]], "not detected: " .. case[1])
end

local violated = find_violated_invariants({
	write("a", "k1", "ok", 1, 2), read("b", {}, 1, 3), read("a", { "k1" }, 3, 4),
	write("a", "k2", "unknown", 5, 6), write("b", "k3", "not run", 5, 6),
	-- Refused, then retried with the same key.
	write("b", "k4", "not run", 7, 8), write("b", "k4", "ok", 9, 10) },
	{ "k1", "k4" })
assert(next(violated) == nil, "a good history was reported as violating: " .. tostring(next(violated)))

local h = history.new()
for i = 1, 20 do
	h:add{ client = "a", team = "t", kind = "write", key = "k" .. i, outcome = "ok",
	       started = i * 1000, ended = i * 1000 + 500 }
end
assert(#h:check_rate("t", 1000, 5) == 0, "a team within its rate was reported")
assert(#h:check_rate("t", 100, 5) > 0, "a team over its rate was not detected")
print("history checker: 7 bad histories and 1 bad rate detected, 2 good ones passed")
