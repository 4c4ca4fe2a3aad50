import {type ServerId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import {ZoneSuspicion} from './zone-suspicion.js';

const zone = 'hall-b' as ZoneId;
const one = 'server-1' as ServerId;
const two = 'server-2' as ServerId;

test('a zone is suspected once two of its servers are unreachable', t => {
	const zones = new ZoneSuspicion();
	zones.unreachable(zone, {server: one, now: 0});
	zones.unreachable(zone, {server: one, now: 10});
	t.false(zones.isSuspect(zone, 10));
	zones.unreachable(zone, {server: two, now: 20});
	t.true(zones.isSuspect(zone, 20));
	t.false(zones.isSuspect('hall-c' as ZoneId, 20));
});

test('contact with a zone prevents and ends its suspicion', t => {
	const zones = new ZoneSuspicion();
	zones.unreachable(zone, {server: one, now: 0});
	zones.heard(zone);
	zones.unreachable(zone, {server: two, now: 10});
	t.false(zones.isSuspect(zone, 10));
	zones.unreachable(zone, {server: one, now: 20});
	t.true(zones.isSuspect(zone, 20));
	zones.heard(zone);
	t.false(zones.isSuspect(zone, 20));
});

test('a suspicion expires, and one more failure starts a longer one', t => {
	const zones = new ZoneSuspicion({firstMilliseconds: 1000, longestMilliseconds: 3000});
	zones.unreachable(zone, {server: one, now: 0});
	zones.unreachable(zone, {server: two, now: 0});
	t.false(zones.isSuspect(zone, 1000));
	zones.unreachable(zone, {server: one, now: 1000});
	t.true(zones.isSuspect(zone, 2900));
	t.false(zones.isSuspect(zone, 3000));
	zones.unreachable(zone, {server: two, now: 3000});
	t.true(zones.isSuspect(zone, 5900));
	t.false(zones.isSuspect(zone, 6000));
});

test('a restarted server does not count as unreachable for its previous process', t => {
	const zones = new ZoneSuspicion();
	zones.unreachable(zone, {server: one, now: 0});
	zones.forget(zone, one);
	zones.unreachable(zone, {server: two, now: 10});
	t.false(zones.isSuspect(zone, 10));
});
