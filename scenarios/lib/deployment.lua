-- The two deployments that the scenarios run, and the tables of routes and pools that their
-- operators would write, with keys and ports filled in.

local deployment = {}

local function make_team(name, rate, burst, weight)
	return { name = name, rate = rate, burst = burst, weight = weight,
		 key = "key-of-" .. name }
end

local function make_route(name, group, access, repeatable, max_age_ms)
	return { name = name, group = group, access = access, repeatable = repeatable,
		 max_age_ms = max_age_ms, deadline_ms = 5000, open_to_all = false }
end

deployment.sevadar = {
	dcs = { "nairobi", "kisumu", "mombasa" },
	group_prefix = "langar-db-",
	slots = 5,
	connections = 30,
	one_way_ms = 1,
	teams = {
		make_team("nairobi-sangat", 900, 900, 4),
		make_team("kisumu-sangat", 600, 600, 3),
		make_team("mombasa-sangat", 600, 600, 3),
		make_team("coordinators", 300, 300, 2),
		make_team("granthis", 150, 150, 1),
		make_team("kitchen-leads", 150, 150, 1),
		make_team("suppliers", 150, 150, 1),
		make_team("visitors", 60, 60, 1),
	},
	routes = {
		make_route("pledges", "langar-db-1", "write", false, 0),
		make_route("roster", "langar-db-1", "read", true, -1),
		make_route("deliveries", "langar-db-2", "write", false, 0),
		make_route("stock", "langar-db-2", "read", true, 2000),
		make_route("kitchens", "langar-db-3", "write", true, 0),
		make_route("kitchen-list", "langar-db-3", "read", true, -1),
	},
}

deployment.kaplanoglu = {
	dcs = { "osmangazi", "nilufer", "yildirim" },
	group_prefix = "core-db-",
	slots = 2,
	connections = 30,
	one_way_ms = 1.5,
	teams = {
		make_team("textile-mills", 900, 900, 4),
		make_team("paper-mills", 600, 600, 3),
		make_team("carpet-mills", 600, 600, 3),
		make_team("winding-line", 300, 300, 3),
		make_team("dispatch", 150, 150, 2),
		make_team("ledger", 150, 150, 2),
		make_team("glue-store", 60, 60, 1),
		make_team("visitors", 60, 60, 1),
	},
	routes = {
		make_route("orders", "core-db-1", "write", false, 0),
		make_route("order-status", "core-db-1", "read", true, -1),
		make_route("invoices", "core-db-2", "write", false, 0),
		make_route("ledger-view", "core-db-2", "read", true, 2000),
		make_route("dispatch-notes", "core-db-3", "write", false, 0),
		make_route("dispatch-status", "core-db-3", "read", true, -1),
	},
}

-- Returns the routes table as operators write it: it holds keys only as digests, and every team may
-- use every route. If @rate is given, it replaces the rate and the burst of every team.
function deployment.routes_table(plan, rate)
	local names, teams, routes = {}, {}, {}
	for _, t in ipairs(plan.teams) do
		names[#names + 1] = t.name
		teams[#teams + 1] = { name = t.name, rate = rate or t.rate,
				      burst = rate or t.burst,
				      weight = t.weight, key_digests = { sha256(t.key) } }
	end
	for _, r in ipairs(plan.routes) do
		local row = {}
		for k, v in pairs(r) do row[k] = v end
		row.teams = row.teams or names
		routes[#routes + 1] = row
	end
	return { routes = routes, teams = teams }
end

-- Returns the pools table; ports[g][i] is the port of member i of group g.
function deployment.pools_table(plan, ports)
	local groups = {}
	for g = 1, 3 do
		local name = plan.group_prefix .. g
		local databases = {}
		for i, dc in ipairs(plan.dcs) do
			databases[i] = { name = name .. "-" .. dc, dc = dc, host = "127.0.0.1",
					 port = ports[g][i], slots = plan.slots,
					 connections = plan.connections, departing = false }
		end
		groups[g] = { name = name, dbname = name, user = "jasminehill",
			      databases = databases }
	end
	return { groups = groups }
end

return deployment
