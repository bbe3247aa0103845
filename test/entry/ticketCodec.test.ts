import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HmacTicketCodec } from '@flamingocourse/router';

const codec = new HmacTicketCodec('a secret of the tests');
const ticket = { issuer: 'dc-a/router-1/0a1b', number: 42 };
const text = codec.format(ticket, 'shop');

test('a parsed ticket keeps its account, and its text is URL-safe', () => {
  assert.match(text, /^[\w.~-]+$/);
  assert.deepEqual(codec.parse(text), { ticket, account: 'shop' });
});

const [payload = '', mac = ''] = text.split('.');
const otherAccount = Buffer.from(JSON.stringify([ticket.issuer, 42, 'club'])).toString('base64url');

const forged = [
  { name: 'with a changed signature', value: `${text}x` },
  { name: 'for another account', value: `${otherAccount}.${mac}` },
  { name: 'of another fleet', value: new HmacTicketCodec('another secret').format(ticket, 'shop') },
  { name: 'without a signature', value: payload },
  { name: 'with arbitrary text', value: 'a.b' },
  { name: 'that is too long', value: `${'a'.repeat(2_000)}.${mac}` },
];

for (const { name, value } of forged) {
  test(`a ticket ${name} is refused`, () => {
    assert.equal(codec.parse(value), undefined);
  });
}
