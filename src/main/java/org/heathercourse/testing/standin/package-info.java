/**
 * Simulated stores, engines and plain services with injectable faults, hosted in one process.
 *
 * <p>Stores: {@code GET /row?key=}, {@code GET /rows?prefix=&after=&limit=}, {@code POST /commit};
 * {@code GET|PUT|DELETE /object?name=}, {@code GET /objects?prefix=}; {@code GET /vms}; {@code GET
 * /status} of the weight store.
 *
 * <p>Engines: {@code POST /v1/chat/completions}, {@code GET /v1/models}, {@code GET /load}, {@code
 * GET /cache/events?after=}, {@code GET /cache/sessions}, {@code DELETE /cache/sessions?session=},
 * {@code POST /cache/export}, {@code POST /cache/import}, {@code POST /orders}. A call whose client
 * disconnects leaves the batch at once; its tokens are retained for a limited time, and a request
 * with the same {@code X-Session-Id} and {@code X-Call-Id} resumes at {@code X-Resume-From}.
 *
 * <p>Control port: {@code GET /stats}, {@code GET /effects}, {@code GET /arrivals?since=}, {@code
 * POST|DELETE /faults}, {@code GET /proxies}, {@code POST /proxies/NAME}, {@code PUT /vms}, {@code
 * POST /vms/relist}.
 *
 * <p>Tokens are charged to the budget of a program once for each call id, with the largest count of
 * its attempts, so that a resumed call is not charged twice. {@code over_budget} counts programs;
 * {@code table_writes} counts transactions, including those whose conditions did not hold.
 */
package org.heathercourse.testing.standin;
