import test from 'ava';
import {testConfiguration, testRoute} from '../configuration/_test-configuration.js';
import {RouteTable} from '../configuration/route-table.js';
import {testRequest} from './_test-request.js';
import {authorizeRequest} from './authorize-request.js';
import {testLease} from './_test-lease.js';

function kindOf(changes: Parameters<typeof testRequest>[0], {confirmedAgo = 100, table = new RouteTable(testConfiguration()), isNew = false} = {}): string {
	const lease = testLease({duration: 4500});
	lease.confirm(10_000 - confirmedAgo);
	return authorizeRequest(testRequest(changes), {table: isNew ? undefined : table, lease, now: 10_000}).caseOf<string>({
		Left: ({kind}) => kind,
		Right: ({workspace}) => workspace?.id ?? 'public',
	});
}

test('a request needs a route and an API key of a workspace', t => {
	t.is(kindOf({}), 'mills');
	t.is(kindOf({path: '/none/'}), 'not-found');
	t.is(kindOf({key: undefined}), 'unauthenticated');
	t.is(kindOf({key: 'other'}), 'unauthenticated');
	t.is(kindOf({}, {isNew: true}), 'no-configuration');
});

test('API keys are rejected once the lease has expired, but public routes still work', t => {
	const table = new RouteTable(testConfiguration({routes: [testRoute({isPublic: true})]}));
	t.is(kindOf({}, {confirmedAgo: 4499}), 'mills');
	t.is(kindOf({}, {confirmedAgo: 4500}), 'configuration-expired');
	t.is(kindOf({key: undefined}, {confirmedAgo: 4500, table}), 'public');
});

test('no request is refused permanently before the configuration is confirmed for the first time', t => {
	const confirmedAgo = Number.POSITIVE_INFINITY;
	t.is(kindOf({}, {confirmedAgo}), 'configuration-expired');
	t.is(kindOf({path: '/none/'}, {confirmedAgo}), 'configuration-expired');
	t.is(kindOf({key: 'other'}, {confirmedAgo}), 'configuration-expired');
});

for (const age of [0, 1000, 1500, 2600, 4400, 4600, 60_000]) {
	test(`no caller is refused for good by a configuration that was confirmed ${age} ms ago if a newer one may have to be in force`, t => {
		const isRecent = age <= 1500;
		t.is(kindOf({path: '/none/'}, {confirmedAgo: age}), isRecent ? 'not-found' : 'configuration-expired');
		t.is(kindOf({key: 'other'}, {confirmedAgo: age}), isRecent ? 'unauthenticated' : 'configuration-expired');
		t.is(kindOf({}, {confirmedAgo: age}), age < 4500 ? 'mills' : 'configuration-expired');
	});
}
