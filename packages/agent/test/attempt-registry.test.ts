import { type AttemptId, ManualClock, type MonoTime, RESULT_CODES } from '@hibiscushill/base';
import type { LinkSession, Run, AgentFramePayload } from '@hibiscushill/protocol';
import { describe, expect, it } from 'vitest';

import { Attempt } from '../src/attempt';
import { AttemptRegistry } from '../src/attempt-registry';
import { RUN } from './support';

const CANCELLED_END = { $case: 'end', value: { code: RESULT_CODES.cancelled.code } };

const END = { digest: 'd', tokens: 0, segments: [], code: 0, detail: '' };

function createSession(): { session: LinkSession; frames: AgentFramePayload[] } {
  const frames: AgentFramePayload[] = [];
  const hello = { entry: 'e', incarnation: 'e1', configVersion: 0 };
  const session = {
    hello,
    send: (frame: AgentFramePayload) => {
      frames.push(frame);
      return true;
    },
  };
  return { session: session as unknown as LinkSession, frames };
}

function createAttempt(run: Partial<Run> = {}, onStoredBytesChanged?: (bytes: number) => void) {
  const { session, frames } = createSession();
  const deadline = 1000 as MonoTime;
  return {
    attempt: new Attempt({ ...RUN, ...run }, session, deadline, onStoredBytesChanged),
    frames,
  };
}

describe('Attempt', () => {
  it('sends a new session the chunks that it lacks, under their sequence numbers', () => {
    const { attempt } = createAttempt();
    attempt.markRunning();
    attempt.addHead(200, []);
    ['one', 'two', 'three'].forEach((text) => attempt.addChunk(Buffer.from(text)));
    attempt.finish(END);
    const next = createSession();
    expect(attempt.attach(next.session, 1, 64)).toBe(true);
    expect(next.frames.map((frame) => frame.$case)).toMatchSnapshot();
  });

  it('refuses to continue from a chunk that was dropped', () => {
    const { attempt } = createAttempt();
    attempt.markRunning();
    attempt.addChunk(Buffer.from('one'));
    attempt.addChunk(Buffer.from('two'));
    attempt.addCredit(3);
    expect(attempt.attach(createSession().session, 0, 64)).toBe(false);
    expect(attempt.attach(createSession().session, 1, 64)).toBe(true);
  });

  it('sends a follower the same response, from before and after it was added', () => {
    const { attempt } = createAttempt({ retain: true });
    const follower = createAttempt({ attempt: 'a2' });
    attempt.markRunning();
    attempt.addHead(200, []);
    attempt.addChunk(Buffer.from('one'));
    attempt.addFollower(follower.attempt);
    attempt.addChunk(Buffer.from('two'));
    attempt.finish(END);
    expect(follower.frames.map((frame) => frame.$case)).toEqual(['head', 'chunk', 'chunk', 'end']);
    expect(follower.attempt.isComplete).toBe(true);
  });
});

describe('cancelling an attempt whose response others follow', () => {
  it('leaves the request running for them, and tells its own entry the end', () => {
    const { attempt, frames } = createAttempt({ idempotencyKey: 'k' });
    const follower = createAttempt({ attempt: 'a2', idempotencyKey: 'k' });
    attempt.markRunning();
    attempt.addFollower(follower.attempt);
    attempt.cancel();
    expect(attempt.signal.aborted).toBe(false);
    attempt.addHead(200, []);
    attempt.addChunk(Buffer.from('one'));
    attempt.finish(END);
    expect(follower.frames.map((frame) => frame.$case)).toEqual(['head', 'chunk', 'end']);
    expect(frames).toMatchObject([CANCELLED_END]);
  });

  it('does not make them wait for credit that its caller no longer gives', async () => {
    const { attempt } = createAttempt({ idempotencyKey: 'k' });
    attempt.markRunning();
    attempt.addFollower(createAttempt({ attempt: 'a2' }).attempt);
    attempt.addChunk(Buffer.alloc(RUN.creditBytes));
    const credit = attempt.waitForCredit();
    attempt.cancel();
    await expect(credit).resolves.toBeUndefined();
    attempt.addChunk(Buffer.alloc(RUN.creditBytes));
    await expect(attempt.waitForCredit()).resolves.toBeUndefined();
  });

  it('ends the request once none of them is left', () => {
    const { attempt } = createAttempt({ idempotencyKey: 'k' });
    const followers = ['a2', 'a3'].map((id) => createAttempt({ attempt: id }).attempt);
    attempt.markRunning();
    followers.forEach((follower) => attempt.addFollower(follower));
    attempt.cancel();
    followers[0]?.cancel();
    expect(attempt.signal.aborted).toBe(false);
    followers[1]?.cancel();
    expect(attempt.signal.aborted).toBe(true);
  });

  it('ends only the response of a follower that is cancelled', () => {
    const { attempt, frames } = createAttempt({ idempotencyKey: 'k' });
    const follower = createAttempt({ attempt: 'a2' });
    attempt.markRunning();
    attempt.addFollower(follower.attempt);
    follower.attempt.cancel();
    attempt.addChunk(Buffer.from('one'));
    expect(attempt.signal.aborted).toBe(false);
    expect(frames.map((frame) => frame.$case)).toEqual(['chunk']);
    expect(follower.frames).toMatchObject([CANCELLED_END]);
  });
});

describe('AttemptRegistry', () => {
  it('keeps a tombstone that says whether a settled attempt ran', () => {
    const registry = new AttemptRegistry({ clock: new ManualClock() });
    const ran = createAttempt().attempt;
    const refused = createAttempt({ attempt: 'a2' }).attempt;
    [ran, refused].forEach((attempt) => registry.add(attempt));
    ran.markRunning();
    ran.finish(END);
    refused.refuse({ code: 2008, retryAfterMs: 0, detail: '' });
    [ran, refused].forEach((attempt) => registry.settle(attempt));
    expect(registry.find(ran.id)).toBeUndefined();
    expect(registry.findTombstone(ran.id)?.mayHaveRun).toBe(true);
    expect(registry.findTombstone(refused.id)?.mayHaveRun).toBe(false);
  });

  it('never removes an attempt that is not settled, however old', () => {
    const clock = new ManualClock();
    const registry = new AttemptRegistry({ clock, tombstoneRetentionMs: 10 });
    const { attempt } = createAttempt();
    registry.add(attempt);
    clock.advance(1_000_000);
    registry.removeExpired();
    expect(registry.find('a1' as AttemptId)).toBe(attempt);
  });

  it('has no room at the limit, and has room again once the attempt is settled', () => {
    const registry = new AttemptRegistry({ clock: new ManualClock(), maxStoredBytes: 4 });
    const { attempt } = createAttempt({}, (bytes) => registry.addStoredBytes(bytes));
    registry.add(attempt);
    attempt.markRunning();
    attempt.addChunk(Buffer.from('12345'));
    expect(registry.hasRoom()).toBe(false);
    registry.settle(attempt);
    expect(registry.hasRoom()).toBe(true);
  });

  it('has room for as much as before once responses went on after their attempts were removed', () => {
    const registry = new AttemptRegistry({ clock: new ManualClock(), maxStoredBytes: 4 });
    for (let index = 0; index < 10; index += 1) {
      const { attempt } = createAttempt({ attempt: `a${index}` }, (bytes) =>
        registry.addStoredBytes(bytes),
      );
      registry.add(attempt);
      attempt.markRunning();
      registry.settle(attempt);
      attempt.addChunk(Buffer.from('1'));
      attempt.finish(END);
    }
    expect(registry.hasRoom()).toBe(true);
  });
});
