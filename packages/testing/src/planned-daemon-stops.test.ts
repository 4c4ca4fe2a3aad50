import test from 'ava';
import {callerKeys, startEntryDeployment} from './_entry-deployment.js';
import {callService} from './http-client.js';
import {sendLateBody} from './platform/send-late-body.js';
import {waitUntil} from './wait-until.js';

const key = callerKeys.yard;
const timing = {
	announcementRenewMilliseconds: 1000, configurationLeaseMilliseconds: 5000, shutdownMilliseconds: 3000,
};
/** Longer than the stop; it is also the time between the halves of a late body, before which the stop begins, in milliseconds. */
const lateMilliseconds = 1500;

test.serial('a request whose server does not answer before the end of a planned stop is told that its outcome is unknown', async t => {
	const entry = await startEntryDeployment(t, {engines: 1, settings: {timing}});
	await entry.setBehaviour('labels-1', {stall: true});
	const print = callService(entry.callers(1), {
		key, service: 'labels', path: '/print', body: '{"label":7}',
	});
	await waitUntil(async () => await entry.countRuns('labels-1') === 1 || undefined, {description: 'the request at its server'});
	await entry.daemon(1).process.stop();
	const {status, problem} = await print;
	t.deepEqual([status, problem?.kind, problem?.outcome], [504, 'deadline-exceeded-after-dispatch', 'unknown']);
});

test.serial('a request whose body is complete only during a planned stop that ends before its deadline is refused as not run', async t => {
	const entry = await startEntryDeployment(t, {engines: 1, settings: {timing}});
	await entry.setBehaviour('labels-1', {stall: true});
	const address = new URL(entry.callers(1)).host;
	const late = sendLateBody({
		address, method: 'POST', path: '/services/labels/print', headers: {Authorization: `Bearer ${key}`}, body: '{"label":8}', bodyDelay: lateMilliseconds,
	});
	await waitUntil(async () => {
		const {inProgress} = await entry.deployment.status(entry.daemon(1));
		return inProgress === 1 || undefined;
	}, {description: 'the head of the request'});
	const stopped = entry.daemon(1).process.stop();
	const {status, isComplete, text} = await late;
	await stopped;
	t.true(isComplete);
	t.is(status, 503);
	t.regex(text, /shutting-down/v);
	t.is(await entry.countRuns('labels-1'), 0);
});
