import {type ServerId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import {ZoneFailureDetector} from './zone-failure-detector.js';

const zone = 'hall-b' as ZoneId;
const one = 'server-1' as ServerId;
const two = 'server-2' as ServerId;

test('a zone is suspected once two of its servers are unreachable', t => {
	const zones = new ZoneFailureDetector();
	zones.recordUnreachable(zone, {server: one, now: 0});
	zones.recordUnreachable(zone, {server: one, now: 10});
	t.false(zones.isSuspect(zone, 10));
	zones.recordUnreachable(zone, {server: two, now: 20});
	t.true(zones.isSuspect(zone, 20));
	t.false(zones.isSuspect('hall-c' as ZoneId, 20));
});

test('contact with a zone prevents and ends its suspicion', t => {
	const zones = new ZoneFailureDetector();
	zones.recordUnreachable(zone, {server: one, now: 0});
	zones.recordContact(zone);
	zones.recordUnreachable(zone, {server: two, now: 10});
	t.false(zones.isSuspect(zone, 10));
	zones.recordUnreachable(zone, {server: one, now: 20});
	t.true(zones.isSuspect(zone, 20));
	zones.recordContact(zone);
	t.false(zones.isSuspect(zone, 20));
});

test('a suspicion expires, and one more failure starts a longer one', t => {
	const zones = new ZoneFailureDetector({initialMilliseconds: 1000, maximumMilliseconds: 3000});
	zones.recordUnreachable(zone, {server: one, now: 0});
	zones.recordUnreachable(zone, {server: two, now: 0});
	t.false(zones.isSuspect(zone, 1000));
	zones.recordUnreachable(zone, {server: one, now: 1000});
	t.true(zones.isSuspect(zone, 2900));
	t.false(zones.isSuspect(zone, 3000));
	zones.recordUnreachable(zone, {server: two, now: 3000});
	t.true(zones.isSuspect(zone, 5900));
	t.false(zones.isSuspect(zone, 6000));
});

test('a restarted server does not count as unreachable for its previous process', t => {
	const zones = new ZoneFailureDetector();
	zones.recordUnreachable(zone, {server: one, now: 0});
	zones.forgetServer(zone, one);
	zones.recordUnreachable(zone, {server: two, now: 10});
	t.false(zones.isSuspect(zone, 10));
});
