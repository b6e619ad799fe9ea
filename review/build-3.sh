#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Run after the build of the deploy
# file: the jar that it makes has the project's own stand-ins (org.heathercourse.testing).
set -e
cd "$(dirname "$0")/.."
jar=target/heathercourse-0.1.0-SNAPSHOT.jar
if [ ! -f "$jar" ]; then
    echo "$jar is missing: run the command build of deploy/system.toml first" >&2
    exit 2
fi
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn --add-modules jdk.incubator.foreign -d target/review-3 -cp "$jar:target/lib/*" review/standins-3/*.java
