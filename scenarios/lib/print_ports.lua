-- Prints ports of free_port() and holds their blocks until it is killed; see test_ports.lua.
local ports = {}
for i = 1, 120 do ports[i] = free_port() end
print("ports=" .. table.concat(ports, ","))
io.stdout:flush()
sleep(60)
