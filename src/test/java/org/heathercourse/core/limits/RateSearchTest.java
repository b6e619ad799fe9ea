package org.heathercourse.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.heathercourse.core.limits.RateSearch.Query;
import org.junit.jupiter.api.Test;

/** Guards against requests that wait at one owner while another has a token, or take two. */
class RateSearchTest {
    @Test
    void asksAllForTokensThatAreThereBeforeItWaits() {
        RateSearch search = new RateSearch(List.of("a", "b"), 1_000);
        assertThat(search.next()).isEqualTo(new Query("a", 0));
        search.onRejected(new RateGrant(false, 400));
        assertThat(search.next()).isEqualTo(new Query("b", 400));
        search.onRejected(new RateGrant(false, 700));
        assertThat(search.next()).isEqualTo(new Query("a", 1_000));
        search.onRejected(new RateGrant(false, 1_100));
        assertThat(search.next()).isNull();
        assertThat(search.shortestWaitMillis()).isEqualTo(400);
    }

    @Test
    void refusesAtOnceIfNoOwnerIsInTime() {
        RateSearch search = new RateSearch(List.of("a", "b"), 300);
        search.next();
        search.onRejected(new RateGrant(false, 400));
        assertThat(search.next()).isEqualTo(new Query("b", 300));
        search.onRejected(new RateGrant(false, 350));
        assertThat(search.next()).isNull();
        assertThat(search.shortestWaitMillis()).isEqualTo(350);
    }

    @Test
    void onlyOwnerIsAskedToLetTheRequestWait() {
        RateSearch search = new RateSearch(List.of("a"), 300);
        assertThat(search.next()).isEqualTo(new Query("a", 300));
        search.onRejected(RateGrant.NONE);
        assertThat(search.next()).isNull();
        assertThat(search.shortestWaitMillis()).isEqualTo(RateGrant.NEVER_MILLIS);
    }

    @Test
    void ownerThatDoesNotAnswerLeavesTheWholeWaitToTheOther() {
        RateSearch search = new RateSearch(List.of("a", "b"), 1_000);
        search.next();
        search.onRejected(RateGrant.NONE);
        assertThat(search.next()).isEqualTo(new Query("b", 1_000));
    }

    @Test
    void ownersAreAskedByTurnsAndSilentOnesOnlyIfThereIsNobodyElse() {
        List<String> owners = List.of("a", "b");
        assertThat(RateSearch.orderOwners(owners, "x", 0, o -> false)).containsExactly("a", "b");
        assertThat(RateSearch.orderOwners(owners, "x", 1, o -> false)).containsExactly("b", "a");
        assertThat(RateSearch.orderOwners(owners, "b", 0, o -> false)).containsExactly("b", "a");
        assertThat(RateSearch.orderOwners(owners, "x", 0, "a"::equals)).containsExactly("b");
        assertThat(RateSearch.orderOwners(owners, "x", 0, o -> true)).containsExactly("a", "b");
        assertThat(RateSearch.orderOwners(owners, "b", 0, "a"::equals)).containsExactly("b");
    }
}
