import {type ServerId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import {ZoneSuspicion} from './zone-suspicion.js';

const zone = 'hall-b' as ZoneId;
const one = 'server-1' as ServerId;
const two = 'server-2' as ServerId;

test('one server alone says nothing of its zone, two do', t => {
	const zones = new ZoneSuspicion();
	zones.unreachable(zone, {server: one, now: 0});
	zones.unreachable(zone, {server: one, now: 10});
	t.false(zones.isSuspect(zone, 10));
	zones.unreachable(zone, {server: two, now: 20});
	t.true(zones.isSuspect(zone, 20));
	t.false(zones.isSuspect('hall-c' as ZoneId, 20));
});

test('a zone that is heard of is not suspected, however many of its servers end', t => {
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

test('a zone is tried again after a while, and one failure then suspects it for longer', t => {
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

test('a server that started again is not counted for its former process', t => {
	const zones = new ZoneSuspicion();
	zones.unreachable(zone, {server: one, now: 0});
	zones.forget(zone, one);
	zones.unreachable(zone, {server: two, now: 10});
	t.false(zones.isSuspect(zone, 10));
});
