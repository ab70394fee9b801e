import {expect, test} from 'vitest';
import type {UpstreamRegistration} from '../protocol/mod.js';
import {createUpstreamDirectory} from './mod.js';

const entry: UpstreamRegistration = {
	id: 'u1', service: 's', address: '127.0.0.1:1', failureDomain: 'd', slots: 4, isDraining: false, warmUp: 0,
};

test('a draining upstream does not become live again', () => {
	// Guards against aborted requests: an older registration, read after the one
	// that announces the drain, must not give the upstream new requests.
	const directory = createUpstreamDirectory();
	directory.put({...entry, isDraining: true}, 0);
	directory.put(entry, 1);
	expect(directory.listLive('s', 2)).toEqual([]);
});

test('an upstream that drained becomes live again with a later start only', () => {
	// Guards against an engine that starts again under its ID after it has drained and gets no requests any more.
	const directory = createUpstreamDirectory();
	directory.put({...entry, startedAt: 1000, isDraining: true}, 0);
	directory.put({...entry, startedAt: 1000}, 1);
	expect(directory.listLive('s', 2)).toEqual([]);
	directory.put({...entry, startedAt: 2000}, 3);
	expect(directory.listLive('s', 4).length).toBe(1);
});

test('the last registration counts although its start looks earlier', () => {
	// Guards against an engine whose registrations, drains included, are ignored: its host's clock went back across a
	// restart, or another writer's entry for its ID names a later start.
	const directory = createUpstreamDirectory();
	directory.put({...entry, startedAt: 2000, softwareVersion: 'v2'}, 0);
	directory.put({...entry, startedAt: 1000, softwareVersion: 'v1'}, 1);
	expect(directory.findLive('u1', 2)?.upstream).toMatchObject({startedAt: 1000, softwareVersion: 'v1'});
	directory.put({...entry, startedAt: 2000}, 3);
	directory.put({...entry, startedAt: 1000, isDraining: true}, 4);
	expect(directory.listLive('s', 5)).toEqual([]);
	directory.put({...entry, startedAt: 1000}, 6);
	expect(directory.listLive('s', 7)).toEqual([]);
});

test('an upstream that drained becomes live again with a start that looks earlier', () => {
	// Guards against a drain of one start that carries over to another one.
	const directory = createUpstreamDirectory();
	directory.put({...entry, startedAt: 2000, isDraining: true}, 0);
	directory.put({...entry, startedAt: 1000}, 1);
	expect(directory.listLive('s', 2).length).toBe(1);
});

test('a registration of an earlier start from a backup is outdated although it drains', () => {
	// Guards against the version and address of a process that has ended, and against its draining.
	const directory = createUpstreamDirectory();
	directory.put({...entry, startedAt: 2000}, 0);
	expect(directory.mayBeOutdated({...entry, startedAt: 1000, isDraining: true})).toBe(true);
	expect(directory.mayBeOutdated({...entry, startedAt: 2000, isDraining: true})).toBe(false);
	directory.drop('u1');
	expect(directory.mayBeOutdated({...entry, startedAt: 1000, isDraining: true})).toBe(true);
});

test('a registration of a later start is not outdated although its sequence counts anew', () => {
	// Guards against an engine that started again before the log was restored and is skipped until its sequence has caught up.
	const directory = createUpstreamDirectory();
	directory.put({...entry, startedAt: 1000, sequence: 90}, 0);
	expect(directory.mayBeOutdated({...entry, startedAt: 2000, sequence: 1})).toBe(false);
	expect(directory.mayBeOutdated({...entry, startedAt: 500, sequence: 99})).toBe(true);
	directory.drop('u1');
	expect(directory.mayBeOutdated({...entry, startedAt: 2000, sequence: 1})).toBe(false);
	expect(directory.mayBeOutdated({...entry, startedAt: 1000, sequence: 90})).toBe(true);
});

test('an upstream whose registration expired while the store was unavailable stays live until the grace period ends', () => {
	// Guards against refusing all callers after the store was unavailable: all
	// registrations expire meanwhile and are renewed a second later.
	const directory = createUpstreamDirectory();
	directory.put(entry, 0);
	directory.drop('u1', 2100);
	expect(directory.listLive('s', 2000).length).toBe(1);
	expect(directory.listLive('s', 2100).length).toBe(0);
	directory.put(entry, 2200);
	expect(directory.listLive('s', 2300).length).toBe(1);
});

test('a registration dropped without a grace period is removed at once', () => {
	const directory = createUpstreamDirectory();
	directory.put(entry, 0);
	directory.drop('u1');
	expect(directory.listLive('s', 100)).toEqual([]);
});

test('prune() deletes an upstream whose grace period has ended', () => {
	// Guards against a gateway that stays ready without any live upstream: all
	// registrations expired, none was renewed, and the balancer keeps sending callers.
	const directory = createUpstreamDirectory();
	directory.put(entry, 0);
	directory.drop('u1', 2100);
	directory.prune(2000);
	expect(directory.hasLive(2000)).toBe(true);
	directory.prune(2100);
	expect(directory.hasLive(2100)).toBe(false);
	expect(directory.listIds()).toEqual([]);
	expect(directory.get('u1')).toBeUndefined();
});

test('a registration at an address supersedes that of another upstream there', () => {
	// Guards against requests to registrations of engines that have restarted under
	// new ids: they last for three heartbeats, and each request to them is refused.
	const directory = createUpstreamDirectory();
	directory.put(entry, 0);
	directory.put({...entry, id: 'u2'}, 10);
	expect(directory.listLive('s', 20).map(({upstream}) => upstream.id)).toEqual(['u2']);
	directory.drop('u1');
	directory.put({...entry, id: 'u2', slots: 5}, 30);
	expect(directory.listLive('s', 40).map(({upstream}) => upstream.slots)).toEqual([5]);
	directory.drop('u2');
	directory.put({...entry, id: 'u3', address: '127.0.0.1:2'}, 50);
	expect(directory.listLive('s', 60).map(({upstream}) => upstream.id)).toEqual(['u3']);
});

test('a registration from a backup is outdated unless it was renewed later', () => {
	// Guards against requests to an upstream that left after the backup was made.
	const directory = createUpstreamDirectory();
	directory.put({...entry, sequence: 5}, 0);
	expect(directory.mayBeOutdated({...entry, sequence: 5})).toBe(true);
	expect(directory.mayBeOutdated({...entry, sequence: 6})).toBe(false);
	expect(directory.mayBeOutdated({...entry, sequence: 4, isDraining: true})).toBe(false);
	directory.drop('u1');
	expect(directory.mayBeOutdated({...entry, sequence: 5})).toBe(true);
	expect(directory.mayBeOutdated({...entry, sequence: 6})).toBe(false);
	expect(directory.mayBeOutdated({...entry, id: 'u2'})).toBe(false);
});

test('a registration for a service that is not named takes no address until the deployment names the service', () => {
	// Guards against another writer's entry that puts an upstream out of service.
	const named = new Set(['s']);
	const directory = createUpstreamDirectory({isServiceNamed: service => named.has(service)});
	directory.put(entry, 0);
	directory.put({...entry, id: 'odd', service: 'unknown'}, 1);
	expect(directory.listLive('s', 2).map(({upstream}) => upstream.id)).toEqual(['u1']);
	named.add('unknown');
	expect(directory.listLive('s', 2)).toEqual([]);
	expect(directory.listLive('unknown', 2).map(({upstream}) => upstream.id)).toEqual(['odd']);
});

test('registrations that are put before the deployment is known take their addresses in order', () => {
	const named = new Set<string>();
	const directory = createUpstreamDirectory({isServiceNamed: service => named.has(service)});
	directory.put(entry, 0);
	directory.put({...entry, id: 'u2'}, 1);
	named.add('s');
	expect(directory.listLive('s', 2).map(({upstream}) => upstream.id)).toEqual(['u2']);
});

test('an upstream is live again if the one that took its address is not there', () => {
	// Guards against another writer's entry that puts an upstream out of service for good: an upstream whose entry does not
	// change is not written again.
	const directory = createUpstreamDirectory();
	directory.put(entry, 0);
	directory.put({...entry, id: 'odd'}, 1);
	expect(directory.listLive('s', 2).map(({upstream}) => upstream.id)).toEqual(['odd']);
	directory.markAddressReused('odd');
	expect(directory.listLive('s', 3).map(({upstream}) => upstream.id)).toEqual(['u1']);
	directory.markAddressReused('u1');
	expect(directory.listLive('s', 4)).toEqual([]);
});

test('a draining registration takes no address, and one that begins to drain gives it back', () => {
	// Guards against another writer's entry that puts an upstream out of service while it gets no requests itself.
	const directory = createUpstreamDirectory();
	directory.put(entry, 0);
	directory.put({...entry, id: 'odd', isDraining: true}, 1);
	expect(directory.listLive('s', 2).map(({upstream}) => upstream.id)).toEqual(['u1']);
	directory.put({...entry, id: 'u2'}, 3);
	expect(directory.listLive('s', 4).map(({upstream}) => upstream.id)).toEqual(['u2']);
	directory.put({...entry, id: 'u2', isDraining: true}, 5);
	expect(directory.listLive('s', 6).map(({upstream}) => upstream.id)).toEqual(['u1']);
});

test('an address is given back if the upstream that took it is removed or moves', () => {
	// Guards against an upstream that stays out of service for good: its own entry does not change and is not written again.
	const directory = createUpstreamDirectory();
	const listLiveIds = (now: number) => directory.listLive('s', now).map(({upstream}) => upstream.id).sort();
	directory.put(entry, 0);
	directory.put({...entry, id: 'u2'}, 1);
	directory.put({...entry, id: 'u3'}, 2);
	expect(listLiveIds(3)).toEqual(['u3']);
	directory.put({...entry, id: 'u3', address: '127.0.0.1:2'}, 4);
	expect(listLiveIds(5)).toEqual(['u2', 'u3']);
	directory.drop('u2');
	expect(listLiveIds(6)).toEqual(['u1', 'u3']);
	directory.put({...entry, id: 'u2'}, 7);
	directory.drop('u2', 20);
	expect(listLiveIds(19)).toEqual(['u2', 'u3']);
	expect(listLiveIds(20)).toEqual(['u1', 'u3']);
});

test('a registration whose service is named only now takes no address from one that was put later', () => {
	// Guards against the entry of a process that has ended, which a new deployment puts back into service.
	const named = new Set(['s']);
	const directory = createUpstreamDirectory({isServiceNamed: service => named.has(service)});
	directory.put({...entry, id: 'old', service: 'later'}, 0);
	directory.put(entry, 1);
	named.add('later');
	expect(directory.listLive('s', 2).map(({upstream}) => upstream.id)).toEqual(['u1']);
	expect(directory.listLive('later', 2)).toEqual([]);
});
