import {
  parseSettings,
  printSettings,
  resolveConfig,
  settingsDefaults,
} from '@flamingocourse/router';
import assert from 'node:assert/strict';
import { test } from 'node:test';

const minimalSettings = `{
  "instance": "router-1",
  "dataCentre": "dc-a",
  "fleetSecret": "0123456789abcdef", "platform": { "url": "http://127.0.0.1:9000" },
`;

test('defaults apply to settings that the file omits', () => {
  const settings = parseSettings(
    `${minimalSettings} "mesh": { "port": 9081 } }`,
    'r.jsonc',
  ).unwrapOrElse((err) => assert.fail(err.message));
  assert.equal(settings.entry.publicUrl, 'http://127.0.0.1:8080');
  assert.equal(settings.mesh.publicUrl, 'http://127.0.0.1:9081');
  assert.equal(settings.mesh.heartbeatMs, settingsDefaults.mesh.heartbeatMs);
  assert.deepEqual(settings.budget, settingsDefaults.budget);
  assert.equal(settings.statsd, undefined);
  const text = printSettings(settings);
  assert.ok(!text.includes(settings.fleetSecret));
  const printed = parseSettings(text, 'printed.json').unwrapOrElse((err) =>
    assert.fail(err.message),
  );
  assert.deepEqual({ ...printed, fleetSecret: settings.fleetSecret }, settings);
});

const faults: [string, string, RegExp][] = [
  [
    'a missing key',
    '{ "instance": "r", "dataCentre": "d", "fleetSecret": "0123456789abcdef" }',
    /^r\.jsonc:1:1: platform: this key is missing/,
  ],
  [
    'a misspelt key',
    `${minimalSettings} "mehs": {} }`,
    /^r\.jsonc:5:2: mehs: .* Did you mean "mesh"\?/,
  ],
  [
    'a misspelt inner key',
    `${minimalSettings} "mesh": { "heartBeat": 5 } }`,
    /^r\.jsonc:5:12: .* Did you mean "heartbeatMs"\?/,
  ],
  [
    'text for a number',
    `${minimalSettings} "stopTimeoutMs": "5s" }`,
    /5:19: .* Write whole milliseconds/,
  ],
  [
    'suspect before heartbeat',
    `${minimalSettings} "mesh": { "suspectMs": 100 } }`,
    /suspectMs \(100\) is not above/,
  ],
  [
    'gone before suspect',
    `${minimalSettings} "mesh": { "goneMs": 2000 } }`,
    /goneMs \(2000\) is not above/,
  ],
  [
    'one port for both',
    `${minimalSettings} "mesh": { "port": 8080 } }`,
    /both listen on 127\.0\.0\.1:8080/,
  ],
];

for (const [name, text, message] of faults) {
  test(`${name} is refused with its position`, () => {
    const settings = parseSettings(text, 'r.jsonc');
    assert.ok(settings.isErr);
    assert.equal(settings.error.code, 'invalid');
    assert.match(settings.error.message, message);
  });
}

test('a faulty secret is not repeated in the message', () => {
  const text = minimalSettings.replace('0123456789abcdef', 'too-short');
  const settings = parseSettings(`${text} }`, 'r.jsonc');
  assert.ok(settings.isErr);
  assert.match(settings.error.message, /fleetSecret: the value is too small/);
  assert.doesNotMatch(settings.error.message, /too-short/);
});

test('a missing file is an error with a remedy', async () => {
  const settings = await resolveConfig('no-such-file.jsonc');
  assert.ok(settings.isErr);
  assert.match(settings.error.message, /Give the path of a settings file/);
});
