-- Random texts of any bytes but CR LF, as a field of a message may have them.

local any_bytes = {}

local MAX_PIECES = 5

-- One text in so many is longer than the buffers that receive it.
local LONG_TEXT_SHARE = 200
local LONG_TEXT_BYTES = 40000

-- Parts that would be read as the end of a text, or as messages, if a line ended with anything but CR LF.
local PIECES = { "\n", "\r", "\0", "\n\r", " ", "\t", "\xff\xfe", "\xc3", "\\", "\"", "é",
		 "\nQUERY x-1 WRITE y z", "\nQUERY - STEPDOWN 99", "\nQUERY x-2 COMMIT", "\nQUIT",
		 "\nDONE m-1.1\nREADY I 1.1\nROW b", "\nDONE -\nREADY I 1.1", "\nERR BUSY m-1\nREADY I 1.1",
		 "\0\nREADY T 1.1", "\rDONE m-1.1\rREADY I 1.1\r" }

local function random_bytes(count)
	local bytes = {}
	for i = 1, count do bytes[i] = string.char(math.random(0, 255)) end
	return table.concat(bytes)
end

local function drop_line_ends(text)
	local count
	repeat text, count = text:gsub("\r\n", "\r") until count == 0
	return text
end

-- Returns a text; it may be empty, and may begin or end with a blank or a CR.
function any_bytes.text()
	local pieces = {}
	for i = 1, math.random(0, MAX_PIECES) do
		pieces[i] = math.random(3) == 1 and random_bytes(math.random(1, 12)) or
			    PIECES[math.random(#PIECES)]
	end
	if math.random(LONG_TEXT_SHARE) == 1 then pieces[#pieces + 1] = random_bytes(LONG_TEXT_BYTES) end
	return drop_line_ends(table.concat(pieces))
end

-- Returns a text without blanks.
function any_bytes.word() return drop_line_ends((any_bytes.text():gsub(" ", "_"))) end

-- Returns a short text without blanks and NUL that is not empty, for names.
function any_bytes.name()
	return drop_line_ends("n" .. any_bytes.word():sub(1, 40):gsub("\0", "_"))
end

-- Returns a text that is the end of an id, and empty for every second one.
function any_bytes.id_end()
	if math.random(2) == 1 then return "" end
	return (any_bytes.name():gsub("-", "_"))
end

-- Returns a word as the report of the members shows it.
function any_bytes.escape(word)
	return (word:gsub("[^!-Z%[%]^-~]", function(byte)
		return string.format("\\%02x", byte:byte())
	end))
end

-- Returns the text as a message about a violation can show it.
function any_bytes.quote(text)
	local quoted = text:sub(1, 80):gsub("[^\x20-\x7e]", function(byte)
		return string.format("\\x%02x", byte:byte())
	end)
	return "'" .. quoted .. (#text > 80 and "'..." or "'")
end

return any_bytes
