-- The operators' two tables for both deployments of the brief, with keys and ports filled in.

local deployment = {}

local function team(name, rate, burst, weight)
	return { name = name, rate = rate, burst = burst, weight = weight,
		 key = "key-of-" .. name }
end

local function route(name, group, access, repeatable, max_age_ms)
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
		team("nairobi-sangat", 900, 900, 4),
		team("kisumu-sangat", 600, 600, 3),
		team("mombasa-sangat", 600, 600, 3),
		team("coordinators", 300, 300, 2),
		team("granthis", 150, 150, 1),
		team("kitchen-leads", 150, 150, 1),
		team("suppliers", 150, 150, 1),
		team("visitors", 60, 60, 1),
	},
	routes = {
		route("pledges", "langar-db-1", "write", false, 0),
		route("roster", "langar-db-1", "read", true, -1),
		route("deliveries", "langar-db-2", "write", false, 0),
		route("stock", "langar-db-2", "read", true, 2000),
		route("kitchens", "langar-db-3", "write", true, 0),
		route("kitchen-list", "langar-db-3", "read", true, -1),
	},
}

deployment.kaplanoglu = {
	dcs = { "osmangazi", "nilufer", "yildirim" },
	group_prefix = "core-db-",
	slots = 2,
	connections = 30,
	one_way_ms = 1.5,
	teams = {
		team("textile-mills", 900, 900, 4),
		team("paper-mills", 600, 600, 3),
		team("carpet-mills", 600, 600, 3),
		team("winding-line", 300, 300, 3),
		team("dispatch", 150, 150, 2),
		team("ledger", 150, 150, 2),
		team("glue-store", 60, 60, 1),
		team("visitors", 60, 60, 1),
	},
	routes = {
		route("orders", "core-db-1", "write", false, 0),
		route("order-status", "core-db-1", "read", true, -1),
		route("invoices", "core-db-2", "write", false, 0),
		route("ledger-view", "core-db-2", "read", true, 2000),
		route("dispatch-notes", "core-db-3", "write", false, 0),
		route("dispatch-status", "core-db-3", "read", true, -1),
	},
}

-- The routes table as operators write it: keys only as digests, every route open to every team.
-- rate replaces every team's rate and burst, if given.
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

-- The pools table; ports[group][i] are the databases' ports.
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
