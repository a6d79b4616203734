import { type AttemptId, ManualClock, type MonoTime } from '@hibiscushill/base';
import type { LinkSession, Run, ToEntry } from '@hibiscushill/protocol';
import { describe, expect, it } from 'vitest';

import { Attempt } from '../src/attempt';
import { Ledger } from '../src/ledger';
import { RUN } from './support';

const END = { digest: 'd', tokens: 0, segments: [], code: 0, detail: '' };

function createSession(): { session: LinkSession; frames: ToEntry[] } {
  const frames: ToEntry[] = [];
  const hello = { entry: 'e', incarnation: 'e1', configVersion: 0 };
  const session = {
    hello,
    send: (frame: ToEntry) => {
      frames.push(frame);
      return true;
    },
  };
  return { session: session as unknown as LinkSession, frames };
}

function createAttempt(run: Partial<Run> = {}, onStored?: (bytes: number) => void) {
  const { session, frames } = createSession();
  const deadline = 1000 as MonoTime;
  return { attempt: new Attempt({ ...RUN, ...run }, session, deadline, onStored), frames };
}

describe('Attempt', () => {
  it('gives a new session what it lacks, each piece under its number', () => {
    const { attempt } = createAttempt();
    attempt.start();
    attempt.addHead(200, []);
    ['one', 'two', 'three'].forEach((text) => attempt.addChunk(Buffer.from(text)));
    attempt.finish(END);
    const next = createSession();
    expect(attempt.attach(next.session, 1, 64)).toBe(true);
    expect(next.frames.map((frame) => frame.$case)).toMatchSnapshot();
  });

  it('refuses to go on from a piece that was dropped', () => {
    const { attempt } = createAttempt();
    attempt.start();
    attempt.addChunk(Buffer.from('one'));
    attempt.addChunk(Buffer.from('two'));
    attempt.addCredit(3);
    expect(attempt.attach(createSession().session, 0, 64)).toBe(false);
    expect(attempt.attach(createSession().session, 1, 64)).toBe(true);
  });

  it('gives a follower the same answer, before and after it joins', () => {
    const { attempt } = createAttempt({ retain: true });
    const follower = createAttempt({ attempt: 'a2' });
    attempt.start();
    attempt.addHead(200, []);
    attempt.addChunk(Buffer.from('one'));
    attempt.addFollower(follower.attempt);
    attempt.addChunk(Buffer.from('two'));
    attempt.finish(END);
    expect(follower.frames.map((frame) => frame.$case)).toEqual(['head', 'chunk', 'chunk', 'end']);
    expect(follower.attempt.isWhole).toBe(true);
  });
});

describe('Ledger', () => {
  it('keeps a tombstone that says whether a settled attempt ran', () => {
    const ledger = new Ledger({ clock: new ManualClock() });
    const ran = createAttempt().attempt;
    const refused = createAttempt({ attempt: 'a2' }).attempt;
    [ran, refused].forEach((attempt) => ledger.add(attempt));
    ran.start();
    ran.finish(END);
    refused.refuse({ code: 2008, retryAfterMs: 0, detail: '' });
    [ran, refused].forEach((attempt) => ledger.settle(attempt));
    expect(ledger.find(ran.id)).toBeUndefined();
    expect(ledger.findTombstone(ran.id)?.ran).toBe(true);
    expect(ledger.findTombstone(refused.id)?.ran).toBe(false);
  });

  it('never forgets an answer that is not settled, however old', () => {
    const clock = new ManualClock();
    const ledger = new Ledger({ clock, rememberMs: 10 });
    const { attempt } = createAttempt();
    ledger.add(attempt);
    clock.advance(1_000_000);
    ledger.sweep();
    expect(ledger.find('a1' as AttemptId)).toBe(attempt);
  });

  it('has no room at the bound, and has it again once the answer is settled', () => {
    const ledger = new Ledger({ clock: new ManualClock(), storeBytes: 4 });
    const { attempt } = createAttempt({}, (bytes) => ledger.countStored(bytes));
    ledger.add(attempt);
    attempt.start();
    attempt.addChunk(Buffer.from('12345'));
    expect(ledger.hasRoom()).toBe(false);
    ledger.settle(attempt);
    expect(ledger.hasRoom()).toBe(true);
  });
});
