package org.heathercourse.features;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.heathercourse.core.model.ProgramId;
import org.heathercourse.core.model.ShardId;

/** Steps for the mapping of programs to shards. */
public class ShardSteps {
    private ProgramId mProgram;
    private int mShards;
    private ShardId mShard;

    @When("the shard of program {string} is asked for with {int} shards")
    public void computeShard(String program, int shards) {
        mProgram = new ProgramId(program);
        mShards = shards;
        mShard = ShardId.of(mProgram, mShards);
    }

    @Then("it is the same as when it is asked for again")
    public void shardIsDeterministic() {
        assertThat(ShardId.of(new ProgramId(mProgram.value()), mShards)).isEqualTo(mShard);
    }

    @Then("it lies between {int} and {int}")
    public void shardIsBetween(int low, int high) {
        assertThat(mShard.index()).isBetween(low, high);
    }
}
