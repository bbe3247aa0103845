import type { JsonValue } from 'fast-check';
import type { ZodType } from 'zod';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { createPlatformDialects } from '@flamingocourse/platform-adapter';
import fc from 'fast-check';
import { followAnswerSchema } from '../../packages/gateway/src/utils/followAnswerSchema.js';
import {
  isInstanceName,
  isMeshUrl,
  storedInstancesSchema,
} from '../../packages/gateway/src/utils/instanceSchemas.js';
import {
  prepaidBudgetsSchema,
  prepaidPageSchema,
} from '../../packages/gateway/src/utils/prepaidSchemas.js';
import { softwareRecordSchema } from '../../packages/gateway/src/utils/softwareRecordSchema.js';
import { storedName } from '../../packages/gateway/src/utils/storedName.js';
import { inputSchemas } from '../../packages/mesh/src/runtime/schemas.js';
import { configWith } from './world.js';

/** Values that each test tries. */
const RUNS = { numRuns: 2_000 };

const { configuration, serverList } = createPlatformDialects();

const server = {
  service: 'a',
  address: '127.0.0.1:80',
  zone: 'z',
  version: 'v',
  slots: 1,
  state: 'ready',
};
const share = { held: 1, rate: 1 };
const account = { granted: 1, returned: 0, spent: 0, inDoubt: 0, shares: { i: share } };
const entries = { kirk: { spent: 0, keeps: 0, wants: 1, rate: 1 } };
const report = { instance: 'i', incarnation: 'a', seq: 1, last: false, entries };
const change = { type: 'changed', object: { name: 'p1', version: '1', value: server } };

/** Schemas of what others write, each with a value that it accepts. */
const documents: { name: string; schema: ZodType; value: unknown }[] = [
  { name: 'the configuration', schema: configuration.schema, value: configWith() },
  { name: 'an entry of the servers', schema: serverList.schema, value: server },
  {
    name: 'the instances',
    schema: storedInstancesSchema,
    value: { instances: { i: { meshUrl: 'http://127.0.0.1:1' } } },
  },
  {
    name: 'a page',
    schema: prepaidPageSchema,
    value: { accounts: { kirk: account }, writers: { i: { incarnation: 'a', seq: 1 } } },
  },
  {
    name: 'the budgets',
    schema: prepaidBudgetsSchema,
    value: { members: { i: '0' }, grants: { kirk: { '0': { granted: 1, returned: 0, gone: 0 } } } },
  },
  {
    name: 'a record of software',
    schema: softwareRecordSchema,
    value: { service: 'a', versions: [] },
  },
  {
    name: 'what a peer passes on',
    schema: followAnswerSchema,
    value: { collections: { servers: { version: '1', ageMs: 0, changes: [change] } }, heldMs: 0 },
  },
  {
    name: 'a request for a loan',
    schema: inputSchemas.borrow,
    value: { report, urgent: { kirk: 1 }, typicalRequest: 1, interest: ['kirk'] },
  },
  {
    name: 'news of a peer',
    schema: inputSchemas.exchangeNews,
    value: { from: 'i', known: { i: 1 }, items: [] },
  },
  {
    name: 'streams of a peer',
    schema: inputSchemas.keepStreams,
    value: { streams: [{ key: 'k', origin: { service: 'a', version: 'v' }, forMs: 1 }] },
  },
];

/** Any JSON, with the names that every object inherits as keys. */
const anyJson = fc.oneof(
  fc.jsonValue(),
  fc.dictionary(fc.constantFrom('constructor', '__proto__', 'toString', 'kirk'), fc.jsonValue()),
) as fc.Arbitrary<JsonValue>;

// Guards against a document that ends the work of whoever reads it, because its schema throws.
describe('a schema of what others write never throws', () => {
  for (const { name, schema, value } of documents) {
    test(`${name}: any value in any place`, () => {
      const whole = JSON.stringify(value);
      assert.ok(schema.safeParse(JSON.parse(whole)).success);
      const places = placesIn(JSON.parse(whole));
      fc.assert(
        fc.property(fc.constantFrom(...places), anyJson, (place, odd) => {
          schema.safeParse(withValue(JSON.parse(whole), place, JSON.parse(JSON.stringify(odd))));
        }),
        RUNS,
      );
    });
  }
});

// Guards against a name or a URL that passes its check and throws where a request needs it.
describe('a text that passes its check', () => {
  const anyText = fc.oneof(fc.string(), fc.string({ unit: 'binary' }), fc.webUrl());

  test('as the id of a server or the name of an account can be a header', () => {
    fc.assert(
      fc.property(anyText, (text) => {
        if (serverList.isName?.(text)) new Headers([['x-a', text]]);
      }),
      RUNS,
    );
  });

  test('as the address of a server, or of an instance, is a URL', () => {
    fc.assert(
      fc.property(anyText, (text) => {
        const parsed = serverList.schema.safeParse({ ...server, address: text });
        if (parsed.success) new URL(parsed.data.url);
        if (isMeshUrl(text)) new URL(text);
      }),
      RUNS,
    );
  });

  test('as the name of an instance, or made one of an object, is part of a path', () => {
    fc.assert(
      fc.property(anyText, (text) => {
        if (isInstanceName(text)) encodeURIComponent(text);
        const path = `/objects/${encodeURIComponent(storedName(text))}`;
        assert.equal(new URL(path, 'http://localhost').pathname, path);
      }),
      RUNS,
    );
  });
});

type Place = readonly (string | number)[];

/** Paths of all values in a JSON value, its own included. */
function placesIn(value: unknown, at: Place = []): Place[] {
  if (typeof value !== 'object' || value === null) return [at];
  return [at, ...Object.entries(value).flatMap(([key, each]) => placesIn(each, [...at, key]))];
}

function withValue(value: unknown, place: Place, odd: unknown): unknown {
  const [key, ...rest] = place;
  if (key === undefined) return odd;
  if (Array.isArray(value)) {
    return value.map((each: unknown, index) => {
      return String(index) === key ? withValue(each, rest, odd) : each;
    });
  }
  const known = Object.entries(value as object);
  return Object.fromEntries(
    known.map(([name, each]) => [
      name,
      name === key ? withValue(each, rest, odd) : (each as unknown),
    ]),
  );
}
